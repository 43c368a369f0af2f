import { ZincringError } from '@zincring/core';

import type { PlannedStop } from '../lifecycle/plannedStop.js';
import type { RequestLifetime } from './requestLifetime.js';

/** Retry-After of an instance that stops, in seconds: short, since the retry reaches another instance. */
const STOPPING_RETRY_SECONDS = 0.03;

/**
 * Returns the refusal of a request that has not been sent to a replica and may last longer than its instance;
 * `undefined` if it has the time that it is allowed.
 *
 * @example
 * const refusal = findStopRefusal(plannedStop, lifetime);
 */
export function findStopRefusal(
  plannedStop: Pick<PlannedStop, 'allows'>,
  { deadline }: Pick<RequestLifetime, 'deadline'>,
): { readonly error: ZincringError; readonly kind: 'failed' } | undefined {
  return plannedStop.allows(deadline)
    ? undefined
    : { error: makeStopError('instance-stopping'), kind: 'failed' };
}

/**
 * Returns the error for a request that was ended before its response began.
 *
 * @example
 * chooseAbortError(lifetime, false).kind; // 'deadline-exceeded-in-queue'
 */
export function chooseAbortError(
  { isInterrupted }: Pick<RequestLifetime, 'isInterrupted'>,
  mayHaveRun: boolean,
): ZincringError {
  if (isInterrupted) {
    return makeStopError(mayHaveRun ? 'upstream-failed' : 'instance-stopping');
  }
  return new ZincringError(mayHaveRun ? 'deadline-exceeded' : 'deadline-exceeded-in-queue');
}

function makeStopError(kind: 'instance-stopping' | 'upstream-failed'): ZincringError {
  return new ZincringError(kind, {
    detail: 'the instance stops',
    retryAfterSeconds: STOPPING_RETRY_SECONDS,
  });
}
