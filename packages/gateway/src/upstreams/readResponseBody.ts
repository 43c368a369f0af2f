import type { ReplicaResponse } from './replicaExchange.js';

import { readBoundedBody } from '../util/readBoundedBody.js';

/**
 * Reads the complete body of a response; `undefined` if it is truncated or too large.
 *
 * @example
 * const body = await readResponseBody(response, 1024 * 1024);
 */
export async function readResponseBody(
  response: ReplicaResponse,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const body = await readBoundedBody(response.body, maximumBytes);
  if (body.ok) {
    return body.val;
  }
  if (body.val === 'too-large') {
    response.discard();
  }
  return undefined;
}
