import { performance } from 'node:perf_hooks';

import type { TimerService, TimerSubscription } from './timerService.js';

/** Longest delay of a timer, in milliseconds; Node.js runs a timer with a longer one at once. */
const MAXIMUM_DELAY_MILLISECONDS = 2 ** 31 - 1;

/**
 * Timers and clocks of the running process.
 *
 * @example
 * const timers = new SystemTimerService();
 * const heartbeat = timers.every(1_000, () => sendHeartbeat());
 */
export class SystemTimerService implements TimerService {
  public now(): number {
    return performance.now();
  }

  public wallClock(): number {
    return Date.now();
  }

  public after(delayMilliseconds: number, callback: () => void): TimerSubscription {
    const timer = setTimeout(callback, toDelay(delayMilliseconds, 0));
    return {
      stop: () => {
        clearTimeout(timer);
      },
    };
  }

  public every(intervalMilliseconds: number, callback: () => void): TimerSubscription {
    const timer = setInterval(callback, toDelay(intervalMilliseconds, 1));
    return {
      stop: () => {
        clearInterval(timer);
      },
    };
  }
}

function toDelay(milliseconds: number, minimum: number): number {
  return Math.min(MAXIMUM_DELAY_MILLISECONDS, Math.max(minimum, milliseconds));
}
