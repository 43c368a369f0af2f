/**
 * Splits an address that has passed the validation of the settings.
 *
 * @example
 * splitAddress('127.0.0.1:4000'); // ['127.0.0.1', 4000]
 */
export function splitAddress(address: string): readonly [host: string, port: number] {
  const separatorIndex = address.lastIndexOf(':');
  return [address.slice(0, separatorIndex), Number(address.slice(separatorIndex + 1))];
}
