import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { Err, Ok, ZincringError } from '@zincring/core';

/**
 * Reads the body of a request to its end.
 *
 * @returns `undefined` when the caller broke off
 * @example
 * const body = await readRequestBody(request, 4_194_304);
 */
export async function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, ZincringError> | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        return Err(new ZincringError('body-too-large'));
      }
      chunks.push(chunk);
    }
  } catch {
    // Node reports a caller that broke off in the middle of its body as an error of the stream.
    return undefined;
  }
  return request.complete ? Ok(Buffer.concat(chunks)) : undefined;
}
