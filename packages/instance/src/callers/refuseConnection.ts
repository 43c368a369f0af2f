import type { Duplex } from 'node:stream';

import { ZincringError } from '@zincring/core';
import { STATUS_CODES } from 'node:http';

/** Maps an error of Node's HTTP parser to the error sent to the caller. */
export function classifyParserFailure(failure: Error): ZincringError {
  const { code = '' } = failure as Error & { readonly code?: string };
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return new ZincringError('headers-too-large');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return new ZincringError('slow-sender');
    default:
      return new ZincringError('bad-request', { detail: 'the request is not valid HTTP/1.1' });
  }
}

/**
 * Sends an error response on a connection without a complete request, and closes the connection.
 */
export function refuseConnection(socket: Duplex, error: ZincringError): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify(error.toReport());
  const headLines = [
    `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status] ?? ''}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    ...(error.retryAfterSeconds === null ? [] : [`retry-after: ${error.retryAfterSeconds}`]),
  ];
  socket.on('error', () => {
    socket.destroy();
  });
  socket.end(`${headLines.join('\r\n')}\r\n\r\n${body}`, () => {
    socket.destroy();
  });
}
