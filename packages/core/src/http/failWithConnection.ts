import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { endsWithConnection } from './endsWithConnection.js';

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
  if (endsWithConnection(incoming)) {
    failAfterHiddenReset(incoming.socket, incoming);
  }
}

/**
 * Node.js reports a reset that arrives together with data as an orderly end of the connection. An
 * empty write tells them apart: it sends nothing, and fails after a reset.
 */
function failAfterHiddenReset(socket: Socket, incoming: IncomingMessage): void {
  const probe = (): void => {
    socket.write('', (failure?: NodeJS.ErrnoException | null) => {
      if (failure?.code === 'ECONNRESET') {
        incoming.destroy(failure);
      }
    });
  };
  // Node.js ends the message in its own listener, which has to come later.
  socket.prependOnceListener('end', probe);
  incoming.once('close', () => {
    socket.off('end', probe);
  });
}
