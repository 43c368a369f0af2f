/** Handle to stop a timer. Stopping it more than once has no effect. */
export interface TimerSubscription {
  stop(): void;
}

/**
 * The only source of time: classes receive it instead of reading the system clock, and tests
 * replace it with a clock that they control.
 */
export interface TimerService {
  /** Monotonic time in milliseconds from an arbitrary origin; unaffected by wall-clock changes. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; only for records read by people, not decisions. */
  wallClock(): number;
  /** Calls `callback` once, `delayMilliseconds` from now. */
  after(delayMilliseconds: number, callback: () => void): TimerSubscription;
  /** Calls `callback` every `intervalMilliseconds`, first after one interval. */
  every(intervalMilliseconds: number, callback: () => void): TimerSubscription;
}

/**
 * Waits for a delay to pass or for the signal to abort, whichever comes first.
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
