import { ZincringError } from '@zincring/core';

/** Retry delay for callers whose request this instance cannot hold, in seconds: short, since another instance may hold it. */
const MEMORY_FULL_RETRY_SECONDS = 0.1;

/**
 * Makes the error of a request that this instance cannot hold; it has not run.
 *
 * @example
 * return Err(makeMemoryFullError('memory is full'));
 */
export function makeMemoryFullError(detail: string): ZincringError {
  return new ZincringError('instance-memory-full', {
    detail,
    retryAfterSeconds: MEMORY_FULL_RETRY_SECONDS,
  });
}
