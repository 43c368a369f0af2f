import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { CallThrottle } from '../../src/store/callThrottle.js';
import { makeRandom } from '../support/makeRandom.js';

describe(CallThrottle, () => {
  let timers: ManualTimerService;
  let throttle: CallThrottle;
  let random: () => number;

  beforeEach(() => {
    timers = new ManualTimerService();
    throttle = new CallThrottle(timers);
    random = makeRandom(3);
  });

  /** Offers calls to a store that accepts up to a number of calls a second; returns how many were sent and accepted. */
  async function offerCalls(
    offeredPerSecond: number,
    acceptedPerSecond: number,
    seconds: number,
  ): Promise<{ readonly sent: number; readonly accepted: number }> {
    let sent = 0;
    let accepted = 0;
    for (let second = 0; second < seconds; second++) {
      let left = acceptedPerSecond;
      for (let call = 0; call < offeredPerSecond; call++) {
        if (throttle.allowsCall(random())) {
          sent++;
          const isAccepted = left-- > 0;
          accepted += isAccepted ? 1 : 0;
          throttle.recordOutcome(!isAccepted);
        }
        await timers.advance(1_000 / offeredPerSecond);
      }
    }
    return { accepted, sent };
  }

  it('holds no call back while the store accepts all', async () => {
    expect(await offerCalls(50, 50, 10)).toEqual({ accepted: 500, sent: 500 });
  });

  it('sends little more than the store accepts, and uses what it accepts', async () => {
    await offerCalls(200, 20, 10);
    const { accepted, sent } = await offerCalls(200, 20, 10);
    expect(accepted).toBeGreaterThan(0.9 * 200);
    expect(sent).toBeLessThan(2 * accepted);
  });

  it('sends all calls again soon after the store accepts all', async () => {
    await offerCalls(20, 0, 10);
    await offerCalls(20, 20, 3);
    const { sent } = await offerCalls(20, 20, 2);
    expect(sent).toBe(40);
  });

  it('goes on asking a store that accepts nothing', async () => {
    const { sent } = await offerCalls(50, 0, 20);
    expect(sent).toBeGreaterThan(20);
    expect(sent).toBeLessThan(200);
  });
});
