import type { ReplicaAnswer } from './replicaExchange.js';

import { readBoundedBody } from '../util/readBoundedBody.js';

/**
 * Reads the complete body of an answer; `undefined` if it is truncated or too large.
 *
 * @example
 * const body = await readBody(answer, 1024 * 1024);
 */
export async function readBody(
  answer: ReplicaAnswer,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const body = await readBoundedBody(answer.body, maximumBytes);
  if (body.ok) {
    return body.val;
  }
  if (body.val === 'too-large') {
    answer.discard();
  }
  return undefined;
}
