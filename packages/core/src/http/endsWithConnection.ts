import type { IncomingMessage } from 'node:http';

/**
 * Whether a response has neither a length nor chunks, so that a body ends with its connection. It reads the
 * raw headers, since Node.js would make an object of all headers first.
 *
 * @example
 * endsWithConnection(incoming); // false for a response with `Content-Length: 12`
 */
export function endsWithConnection({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): boolean {
  return !rawHeaders.some((text, index) => index % 2 === 0 && isFramingHeader(text.toLowerCase()));
}

function isFramingHeader(name: string): boolean {
  return name === 'content-length' || name === 'transfer-encoding';
}
