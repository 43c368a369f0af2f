import type { IncomingMessage } from 'node:http';

/**
 * Whether a response has neither a length nor chunks, so that a body ends with its connection.
 *
 * @example
 * endsWithConnection(incoming); // false for a response with `Content-Length: 12`
 */
export function endsWithConnection({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
