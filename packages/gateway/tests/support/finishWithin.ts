import type { ManualTimerService } from '@zincring/core';

/**
 * Advances the manual clock in small steps until the work has settled, by at most the given time,
 * and returns its result.
 */
export async function finishWithin<Value>(
  timers: ManualTimerService,
  work: Promise<Value>,
  milliseconds: number,
): Promise<Value> {
  const progress = { isDone: false };
  const watched = work.finally(() => {
    progress.isDone = true;
  });
  for (let elapsed = 0; elapsed < milliseconds && !progress.isDone; elapsed += 5) {
    await timers.advance(5);
  }
  return await watched;
}
