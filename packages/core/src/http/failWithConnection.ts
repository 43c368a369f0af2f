import type { ClientRequest, IncomingMessage } from 'node:http';

/**
 * Makes reading a response fail if its connection fails after the head. Node.js reports such a
 * failure on the request only, and ends a body without a length or chunks as if it were complete.
 *
 * @example
 * outgoing.on('response', incoming => {
 *   failWithConnection(outgoing, incoming);
 *   resolve(incoming);
 * });
 */
export function failWithConnection(outgoing: ClientRequest, incoming: IncomingMessage): void {
  outgoing.on('error', failure => {
    incoming.destroy(failure);
  });
}
