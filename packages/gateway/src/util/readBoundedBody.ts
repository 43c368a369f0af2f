import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { Err, Ok } from '@zincring/core';

/** Reason for which a body was not read completely: the connection was lost, or the body is larger than allowed. */
export type BodyReadFailure = 'broken' | 'too-large';

/**
 * Reads the complete body of a request or response, up to a maximum size.
 *
 * @param maximumBytes maximum size of the body, in bytes
 * @example
 * const body = await readBoundedBody(request, 4_194_304);
 */
export async function readBoundedBody(
  message: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, BodyReadFailure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        return Err('too-large');
      }
      chunks.push(chunk);
    }
  } catch {
    // Node reports a connection lost in the middle of a body as a stream error.
    return Err('broken');
  }
  return message.complete ? Ok(Buffer.concat(chunks)) : Err('broken');
}
