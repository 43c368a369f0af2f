import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { PlannedStopSteps } from '../../src/lifecycle/plannedStop.js';

import { PlannedStop } from '../../src/lifecycle/plannedStop.js';

const times = {
  acceptingMilliseconds: 3_600,
  noticeMilliseconds: 2_500,
  stopMilliseconds: 7_200,
};

describe(PlannedStop, () => {
  let timers: ManualTimerService;
  let plannedStop: PlannedStop;
  let taken: string[];

  beforeEach(() => {
    timers = new ManualTimerService();
    plannedStop = new PlannedStop(timers, times);
    taken = [];
  });

  function makeSteps({
    callers = 0,
    relays = 0,
    start = Promise.resolve(),
  }: {
    /** Time that the callers' requests still need, in milliseconds. */
    readonly callers?: number;
    readonly relays?: number;
    readonly start?: Promise<void>;
  } = {}): PlannedStopSteps {
    const record = (step: string): void => {
      taken.push(`${step} at ${String(timers.now())}`);
    };
    const wait = async (neededMilliseconds: number, timeout: number): Promise<void> =>
      new Promise(resolve => timers.after(Math.min(neededMilliseconds, timeout), resolve));
    return {
      announce: () => {
        record('announce');
      },
      closeIdleConnections: () => {
        record('close idle');
      },
      finishCallers: async timeout => {
        record('stop listening');
        await wait(callers, timeout);
      },
      finishRelays: async timeout => wait(relays, timeout),
      finishStart: async () => start,
      interrupt: () => {
        record('interrupt');
        return Promise.resolve();
      },
      release: () => {
        record('release');
        return Promise.resolve();
      },
    };
  }

  it('ends once nothing is in flight', async () => {
    const stopped = plannedStop.run(makeSteps({ callers: 400, relays: 100 }));
    await timers.advance(10_000);
    await stopped;
    expect(taken).toEqual([
      'announce at 0',
      'close idle at 2500',
      'stop listening at 3600',
      'interrupt at 4100',
      'release at 4100',
    ]);
  });

  it('interrupts what is in flight shortly before the grace period ends', async () => {
    void plannedStop.run(makeSteps({ callers: 60_000, relays: 60_000 }));
    await timers.advance(10_000);
    expect(taken.slice(-2)).toEqual(['interrupt at 7200', 'release at 7200']);
  });

  it('takes its steps once, and resolves every request to stop after the last one', async () => {
    const steps = makeSteps({ callers: 400 });
    const first = plannedStop.run(steps);
    let isSecondResolved = false;
    await timers.advance(2_000);
    const second = plannedStop.run(steps).then(() => {
      isSecondResolved = true;
    });
    await timers.advance(1_999);
    expect(isSecondResolved).toBe(false);
    await timers.advance(1);
    await Promise.all([first, second]);
    expect(taken.filter(step => step.startsWith('announce'))).toHaveLength(1);
    expect(taken.at(-1)).toBe('release at 4000');
  });

  it('begins during a start and goes on after it', async () => {
    const start = new Promise<void>(resolve => timers.after(300, resolve));
    void plannedStop.run(makeSteps({ start }));
    await timers.advance(299);
    expect(plannedStop.isBegun).toBe(true);
    expect(taken).toEqual([]);
    await timers.advance(1);
    expect(taken).toEqual(['announce at 300']);
  });

  it.each([
    ['any request before it begins', 0, undefined, 1e9, true],
    ['a request whose time ends with it', 3_000, 0, 4_200, true],
    ['no request that may last longer', 3_000, 0, 4_201, false],
  ])('accepts %s', async (_name, arrivesAt, beginsAt, allowedMilliseconds, isAccepted) => {
    if (beginsAt !== undefined) {
      void plannedStop.run(makeSteps());
    }
    await timers.advance(arrivesAt);
    expect(plannedStop.allows(timers.now() + allowedMilliseconds)).toBe(isAccepted);
  });
});
