import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { Err, Ok } from '@zincring/core';

/** Why a body was not read to its end: its connection was lost, or it is larger than allowed. */
export type UnreadBody = 'broken' | 'too-large';

/**
 * Reads the body of a request or an answer to its end, up to a limit.
 *
 * @param maximumBytes largest body that is read, in bytes
 * @example
 * const body = await readWithin(request, 4_194_304);
 */
export async function readWithin(
  message: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, UnreadBody>> {
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
    // Node reports a connection that was lost in the middle of a body as an error of the stream.
    return Err('broken');
  }
  return message.complete ? Ok(Buffer.concat(chunks)) : Err('broken');
}
