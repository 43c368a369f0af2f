import type { Result } from '@zincring/core';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { Err, ZincringError } from '@zincring/core';

import type { HeldMemory, ReleaseMemory } from './memory/heldMemory.js';

import { readBoundedBody } from '../util/readBoundedBody.js';

/** Retry delay for callers whose request this instance cannot hold, in seconds: short, since another instance may hold it. */
const MEMORY_FULL_RETRY_SECONDS = 0.1;

/**
 * Reads the complete body of a request, and counts it until its response has been read.
 *
 * @returns `undefined` if the caller disconnected before the end of the body
 * @example
 * const body = await readRequestBody(request, response, memory, 4_194_304);
 */
export async function readRequestBody(
  request: IncomingMessage,
  response: ServerResponse,
  memory: HeldMemory,
  maximumBytes: number,
): Promise<Result<Buffer, ZincringError> | undefined> {
  const releases: ReleaseMemory[] = [];
  const releaseAll = (): void => {
    releases.splice(0).forEach(release => {
      release();
    });
  };
  response.once('close', releaseAll);
  const body = await readBoundedBody(request, maximumBytes, {
    hold: bytes => {
      releases.push(memory.hold(bytes));
    },
    get isFull() {
      return memory.isFull;
    },
    release: releaseAll,
  });
  if (body.ok) {
    return body;
  }
  const reason = body.val;
  switch (reason) {
    case 'broken':
      return undefined;
    case 'memory-full':
      return Err(
        new ZincringError('instance-memory-full', { retryAfterSeconds: MEMORY_FULL_RETRY_SECONDS }),
      );
    case 'too-large':
      return Err(new ZincringError('body-too-large'));
    default:
      return reason satisfies never;
  }
}
