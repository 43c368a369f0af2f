import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { endsWithConnection } from './endsWithConnection.js';

/** Statuses of responses without a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number | undefined> = new Set([204, 304]);

/**
 * Makes reading a response fail if its connection fails after the head. Node.js reports such a
 * failure on the request only, and ends a body without a length or chunks as if it were complete. Such a
 * body is complete if its connection was closed in order, also if a reset follows, and broken off otherwise.
 *
 * @example
 * outgoing.on('response', incoming => {
 *   failWithConnection(outgoing, incoming);
 *   resolve(incoming);
 * });
 */
export function failWithConnection(outgoing: ClientRequest, incoming: IncomingMessage): void {
  const { socket } = incoming;
  const isEndedByConnection = hasBody(outgoing, incoming) && endsWithConnection(incoming);
  const fail = (failure: Error): void => {
    if (!isEndedByConnection || !isResetAfterEnd(socket, failure)) {
      incoming.destroy(failure);
    }
  };
  outgoing.on('error', fail);
  if (isEndedByConnection) {
    checkEnd(socket, fail);
  }
}

function hasBody({ method }: ClientRequest, { statusCode }: IncomingMessage): boolean {
  return method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(statusCode);
}

/** Whether a write failed because a reset followed the orderly end; without such an end it fails with ECONNRESET. */
function isResetAfterEnd(socket: Socket, failure: NodeJS.ErrnoException): boolean {
  return socket.readableEnded && failure.code === 'EPIPE';
}

/**
 * Reports a failure of the connection before its end. Node.js reports a reset that arrives together with data as an
 * orderly end; only a write fails then, which may be one that waits for room.
 */
function checkEnd(socket: Socket, onFailure: (failure: Error) => void): void {
  // Node.js ends the message and closes the connection in these, so they have to wait for the outcome of the write.
  const endListeners = socket.listeners('end');
  const reportEnd = (): void => {
    socket.off('close', reportEnd);
    for (const listener of endListeners.splice(0)) {
      listener.call(socket);
    }
  };
  socket.removeAllListeners('end');
  socket.once('end', () => {
    if (socket.writableLength > 0) {
      socket.prependOnceListener('close', reportEnd);
      // A waiting write is tried right after the read that led to the end, and reports its own failure.
      setImmediate(reportEnd);
      return;
    }
    socket.write('');
    if (socket.errored !== null) {
      onFailure(socket.errored);
    }
    reportEnd();
  });
}
