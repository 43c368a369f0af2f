import { describe, expect, it } from 'vitest';

import { PermitSchedule } from '../../../src/upstreams/permits/permitSchedule.js';
import { countMost } from '../../support/countMost.js';
import { makeRandom } from '../../support/makeRandom.js';

describe(PermitSchedule, () => {
  it.each([
    { delays: [0, 500, 'denied'], maximumWait: 500, rate: 2 },
    { delays: [0, 'denied'], maximumWait: 0, rate: 2 },
    { delays: [0, 250, 'denied'], maximumWait: 400, rate: 4 },
    { delays: [0, 'denied'], maximumWait: 400, rate: 0 },
  ])('grants $delays at $rate requests per second', ({ delays, maximumWait, rate }) => {
    const schedule = new PermitSchedule(rate, 1_000);
    const outcomes = delays.map(() => {
      const permit = schedule.take(1_000, maximumWait);
      return permit.kind === 'granted' ? permit.delayMilliseconds : permit.kind;
    });
    expect(outcomes).toEqual(delays);
  });

  it('names the time until the next permit', () => {
    const schedule = new PermitSchedule(0.25, 0);
    schedule.take(0, 0);
    expect(schedule.take(1_000, 400)).toEqual({ kind: 'denied', retryAfterMilliseconds: 3_000 });
    expect(schedule.take(4_000, 0)).toMatchObject({ kind: 'granted' });
  });

  it('keeps the passed share of an interval when the rate changes', () => {
    const schedule = new PermitSchedule(0.1, 0);
    schedule.take(0, 0);
    schedule.changeRate(10, 5_000);
    expect(schedule.take(5_000, 0)).toEqual({ kind: 'denied', retryAfterMilliseconds: 50 });
  });

  it.each([0.3, 1, 2.6, 5.5, 40])(
    'stays within its bound at %d requests per second under an uneven load',
    rate => {
      const random = makeRandom(Math.round(rate * 10));
      const schedule = new PermitSchedule(rate, 0);
      const sentAt: number[] = [];
      for (let now = 0; now < 60_000; now += random() * (random() < 0.01 ? 3_000 : 10)) {
        const permit = schedule.take(now, random() < 0.5 ? 400 : 0);
        if (permit.kind === 'granted') {
          sentAt.push(now + permit.delayMilliseconds);
        }
      }
      expect(countMost(sentAt, 4_000)).toBeLessThanOrEqual(1 + rate * 4.5);
    },
  );

  it.each([0.3, 1, 2.6, 5.5, 40])(
    'uses all permits at %d requests per second under a steady load',
    rate => {
      const schedule = new PermitSchedule(rate, 0);
      let granted = 0;
      for (let now = 0; now < 60_000; now += 10) {
        granted += schedule.take(now, 0).kind === 'granted' ? 1 : 0;
      }
      expect(granted).toBeGreaterThanOrEqual(Math.floor(60 * rate));
    },
  );
});
