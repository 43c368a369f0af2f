import type { ManualTimerService } from '@zincring/core';

/** Moves time in small steps until work is done, at most for a while. */
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
