import { describe, expect, it } from 'vitest';

import { SystemTimerService } from '../../src/time/systemTimerService.js';

describe(SystemTimerService, () => {
  it.each([2 ** 31, 1e300, Infinity])('never runs a timer of %d ms at once', async milliseconds => {
    const timers = new SystemTimerService();
    let runs = 0;
    const count = (): void => {
      runs++;
    };
    const subscriptions = [timers.after(milliseconds, count), timers.every(milliseconds, count)];
    await new Promise(resolve => setTimeout(resolve, 20));
    subscriptions.forEach(subscription => {
      subscription.stop();
    });
    expect(runs).toBe(0);
  });
});
