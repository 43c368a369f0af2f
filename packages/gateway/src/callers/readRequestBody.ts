import type { Result } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import { Err, ZincringError } from '@zincring/core';

import { readBoundedBody } from '../util/readBoundedBody.js';

/**
 * Reads the complete body of a request.
 *
 * @returns `undefined` if the caller disconnected before the end of the body
 * @example
 * const body = await readRequestBody(request, 4_194_304);
 */
export async function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, ZincringError> | undefined> {
  const body = await readBoundedBody(request, maximumBytes);
  if (body.ok) {
    return body;
  }
  return body.val === 'too-large' ? Err(new ZincringError('body-too-large')) : undefined;
}
