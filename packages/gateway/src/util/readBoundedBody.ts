import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { Err, Ok } from '@zincring/core';

/**
 * Reason for which a body was not read completely: the connection was lost, the body is larger than
 * allowed, or the instance cannot hold it.
 */
export type BodyReadFailure = 'broken' | 'memory-full' | 'too-large';

/** Counts the bytes of a body that is being read. */
export interface BodyHolder {
  /** Whether nothing more can be held. */
  readonly isFull: boolean;
  /** Counts further bytes. */
  hold(bytes: number): void;
  /** Returns all that was counted, since the body is dropped. */
  release(): void;
}

const unboundedHolder: BodyHolder = {
  hold: () => undefined,
  isFull: false,
  release: () => undefined,
};

/**
 * Reads the complete body of a request or response, up to a maximum size.
 *
 * @param maximumBytes maximum size of the body, in bytes
 * @param holder counts what has been read; unbounded by default
 * @example
 * const body = await readBoundedBody(request, 4_194_304);
 */
export async function readBoundedBody(
  message: IncomingMessage,
  maximumBytes: number,
  holder: BodyHolder = unboundedHolder,
): Promise<Result<Buffer, BodyReadFailure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  let isDropped = false;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        return Err('too-large');
      }
      // The rest is read all the same, since a sender that is cut off would not see the response.
      if (isDropped) {
        continue;
      }
      if (holder.isFull) {
        isDropped = true;
        chunks.length = 0;
        holder.release();
        continue;
      }
      holder.hold(chunk.length);
      chunks.push(chunk);
    }
  } catch {
    // Node reports a connection lost in the middle of a body as a stream error.
    return Err('broken');
  }
  if (!message.complete) {
    return Err('broken');
  }
  return isDropped ? Err('memory-full') : Ok(Buffer.concat(chunks));
}
