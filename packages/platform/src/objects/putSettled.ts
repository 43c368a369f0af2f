import type { Result, TimerService } from '@zincring/core';

import { Err, Ok, sleep } from '@zincring/core';

import type { ObjectStore, PutOutcome } from './objectStore.js';

import { PlatformError } from '../platformError.js';

/** How long to keep asking. */
export interface PutSettledOptions {
  readonly timers: TimerService;
  readonly attempts: number;
  /** Pause between attempts, in milliseconds. */
  readonly pauseMilliseconds: number;
}

/**
 * Stores an object once, although answers may be lost: an object that exists with the same
 * content after an unknown outcome is one's own.
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
      const isOwn = stored.val !== undefined && Buffer.from(stored.val).equals(content);
      return Ok(isOwn ? 'stored' : 'exists');
    }
  }
  const failure = mayHaveApplied ? 'outcome-unknown' : 'unavailable';
  return Err(new PlatformError(failure, `no answer in ${options.attempts} attempts`));
}
