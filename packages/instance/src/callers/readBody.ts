import type { IncomingMessage } from 'node:http';

import { ZincringError } from '@zincring/core';

/**
 * Reads the body of a request; throws the kind `body-too-large` above the limit.
 *
 * @param limitBytes largest body accepted, in bytes
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes) {
      throw new ZincringError('body-too-large', { detail: `the limit is ${limitBytes} bytes` });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Parses a JSON body; throws the kind `bad-request`. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new ZincringError('bad-request', { detail: 'the body is not JSON' });
  }
}
