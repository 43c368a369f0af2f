/** A timer that its owner can stop. Stopping twice is harmless. */
export interface TimerSubscription {
  stop(): void;
}

/**
 * The only source of time. Parts subscribe to it instead of reading a clock of their own,
 * so that tests can move time by hand.
 */
export interface TimerService {
  /** Monotonic time in milliseconds; its zero has no meaning. Steps of the wall clock do not move it. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; for records that people read, never for decisions. */
  wallClock(): number;
  /** Calls `callback` once, `delayMilliseconds` from now. */
  after(delayMilliseconds: number, callback: () => void): TimerSubscription;
  /** Calls `callback` every `intervalMilliseconds`, first after one interval. */
  every(intervalMilliseconds: number, callback: () => void): TimerSubscription;
}

/**
 * Waits for a time, or until the signal aborts, whichever comes first.
 *
 * @example
 * await sleep(timers, 250);
 */
export async function sleep(
  timers: TimerService,
  delayMilliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted === true) {
    return;
  }
  await new Promise<void>(resolve => {
    const finish = (): void => {
      subscription.stop();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const subscription = timers.after(delayMilliseconds, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
