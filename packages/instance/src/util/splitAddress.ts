/**
 * Splits an address that the settings have checked.
 *
 * @example
 * splitAddress('127.0.0.1:4000'); // ['127.0.0.1', 4000]
 */
export function splitAddress(address: string): readonly [host: string, port: number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
