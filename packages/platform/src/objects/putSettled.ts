import type { Result, TimerService } from '@zincring/core';

import { Err, Ok, sleep } from '@zincring/core';

import type { ObjectStore, PutOutcome } from './objectStore.js';

import { PlatformError } from '../platformError.js';

/** Options of {@link putSettled}. */
export interface PutSettledOptions {
  readonly timers: TimerService;
  /** Maximum number of attempts. */
  readonly attempts: number;
  /** Pause between attempts, in milliseconds. */
  readonly pauseMilliseconds: number;
}

/**
 * Stores an object once even if responses are lost. When an earlier attempt had an unknown outcome
 * and the object exists with the same content, that attempt counts as successful.
 *
 * @example
 * const outcome = await putSettled(store, 'log/a/000001', bytes, { timers, … });
 */
export async function putSettled(
  store: ObjectStore,
  name: string,
  content: Uint8Array,
  options: PutSettledOptions,
): Promise<Result<PutOutcome, PlatformError>> {
  let mayHaveApplied = false;
  for (let attempt = 0; attempt < options.attempts; attempt++) {
    if (attempt > 0) {
      await sleep(options.timers, options.pauseMilliseconds);
    }
    const outcome = await store.putIfAbsent(name, content);
    if (outcome.err) {
      mayHaveApplied ||= outcome.val.failure === 'outcome-unknown';
      continue;
    }
    if (outcome.val === 'stored' || !mayHaveApplied) {
      return outcome;
    }
    const stored = await store.get(name);
    if (stored.ok) {
      const isOwnContent = stored.val !== undefined && Buffer.from(stored.val).equals(content);
      return Ok(isOwnContent ? 'stored' : 'exists');
    }
  }
  const failure = mayHaveApplied ? 'outcome-unknown' : 'unavailable';
  return Err(new PlatformError(failure, `no known outcome after ${options.attempts} attempts`));
}
