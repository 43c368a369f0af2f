import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { BodyContent, Err, Ok } from '@zincring/core';

/** Reason for which a body was not read completely: the connection was lost, or the body is larger than allowed. */
export type BodyReadFailure = 'broken' | 'too-large';

/**
 * Reads the complete body of a response, up to a maximum size.
 *
 * @param maximumBytes maximum size of the body, in bytes
 * @param waitForRoom waits until more may be read than the given number of bytes; it may by default
 * @example
 * const body = await readBoundedBody(response, 1_048_576);
 */
export async function readBoundedBody(
  message: IncomingMessage,
  maximumBytes: number,
  waitForRoom?: (size: number) => Promise<void>,
): Promise<Result<Buffer, BodyReadFailure>> {
  const content = new BodyContent();
  let size = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        content.clear();
        return Err('too-large');
      }
      content.append(chunk);
      await waitForRoom?.(size);
    }
  } catch {
    // Node reports a connection lost in the middle of a body as a stream error.
    content.clear();
    return Err('broken');
  }
  return message.complete ? Ok(content.complete()) : Err('broken');
}
