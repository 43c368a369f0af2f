import type { ReplicaAnswer } from './replicaExchange.js';

import { readWithin } from '../util/readWithin.js';

/**
 * Reads the body of an answer to its end; `undefined` when it breaks off or is too large.
 *
 * @example
 * const body = await readWholeBody(answer, 1024 * 1024);
 */
export async function readWholeBody(
  answer: ReplicaAnswer,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const body = await readWithin(answer.body, maximumBytes);
  if (body.ok) {
    return body.val;
  }
  if (body.val === 'too-large') {
    answer.discard();
  }
  return undefined;
}
