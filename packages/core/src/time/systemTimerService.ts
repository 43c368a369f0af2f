import { performance } from 'node:perf_hooks';

import type { TimerService, TimerSubscription } from './timerService.js';

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
    const timer = setTimeout(callback, Math.max(0, delayMilliseconds));
    return {
      stop: () => {
        clearTimeout(timer);
      },
    };
  }

  public every(intervalMilliseconds: number, callback: () => void): TimerSubscription {
    const timer = setInterval(callback, Math.max(1, intervalMilliseconds));
    return {
      stop: () => {
        clearInterval(timer);
      },
    };
  }
}
