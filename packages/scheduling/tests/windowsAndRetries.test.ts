import type { UpstreamId } from '@zincring/core';
import type { BodyDigest, CrashId } from '@zincring/scheduling';

import {
  ConcurrencyWindow,
  defaultQuarantineOptions,
  enginePriority,
  Quarantine,
  RetryBudget,
} from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

const windowOptions = { callMilliseconds: 1_000, instances: 13, maximumCalls: 8, targetWaiting: 1 };

describe('ConcurrencyWindow', () => {
  test('a window below one sends at a reduced rate and never starves', () => {
    const window = new ConcurrencyWindow(windowOptions);
    let dispatched = 0;
    let endsAt = Infinity;
    for (let now = 0; now < 300_000; now += 100) {
      window.observeWaiting(50, now);
      if (now >= endsAt) {
        window.recordSuccess(1_000, now);
        endsAt = Infinity;
      }
      if (window.hasCapacity(now)) {
        window.recordDispatch();
        endsAt = now + 1_000;
        dispatched++;
      }
    }
    expect(window.size).toBeLessThan(1);
    expect(dispatched).toBeGreaterThanOrEqual(300_000 / 6_100 - 1);
  });

  test('grows to the maximum of the rule without congestion, and shrinks after failures', () => {
    const window = new ConcurrencyWindow(windowOptions);
    for (let now = 0; now < 500_000; now += 1_000) {
      while (window.hasCapacity(now)) {
        window.recordDispatch();
      }
      while (window.used > 0) {
        window.recordSuccess(1_000, now + 900);
      }
    }
    expect(window.size).toBe(8);
    window.recordDispatch();
    window.recordFailure(600_000);
    expect(window.size).toBe(4);
  });
});

describe('ConcurrencyWindow of thirteen instances that share eight slots', () => {
  test('every instance gets slots, and the slots stay in use', () => {
    const slots = 8;
    const callMilliseconds = 1_000;
    const windows = Array.from({ length: 13 }, () => new ConcurrencyWindow(windowOptions));
    const served = windows.map(() => 0);
    const waiting: number[] = [];
    const running: { endsAt: number; instance: number; sentAt: number }[] = [];
    const dispatchTimes = windows.map(() => [] as number[]);
    let reportedWaiting = 0;
    for (let now = 0; now < 600_000; now += 50) {
      for (const call of running.filter(({ endsAt }) => endsAt <= now)) {
        running.splice(running.indexOf(call), 1);
        served[call.instance]!++;
        windows[call.instance]!.recordSuccess(now - call.sentAt, now);
      }
      for (const [instance, window] of windows.entries()) {
        if (now % 1_000 === 0) {
          window.observeWaiting(reportedWaiting, now);
        }
        while (window.hasCapacity(now)) {
          window.recordDispatch();
          waiting.push(instance);
          dispatchTimes[instance]!.push(now);
        }
      }
      while (running.length < slots && waiting.length > 0) {
        const instance = waiting.shift()!;
        const dispatchedAt = dispatchTimes[instance]!.shift()!;
        running.push({ endsAt: now + callMilliseconds, instance, sentAt: dispatchedAt });
      }
      reportedWaiting = now % 1_000 === 0 ? waiting.length : reportedWaiting;
    }
    const total = served.reduce((sum, count) => sum + count, 0);
    expect(Math.min(...served)).toBeGreaterThan(total / windows.length / 2);
    expect(total).toBeGreaterThan((600_000 / callMilliseconds) * slots * 0.8);
  });
});

describe('RetryBudget', () => {
  test('retries stay within the share of first attempts plus the reserve', () => {
    const budget = new RetryBudget({
      instances: 13,
      maximumSaved: 100,
      reservePerSecond: 13,
      share: 0.1,
    });
    let retries = 0;
    for (let now = 0; now < 60_000; now += 10) {
      budget.recordFirstAttempt();
      retries += budget.tryAcquireRetry(now) ? 1 : 0;
    }
    expect(retries).toBeLessThanOrEqual(6_000 * 0.1 + 60 + 1);
    expect(retries).toBeGreaterThanOrEqual(6_000 * 0.1);
  });
});

describe('Quarantine', () => {
  const body = 'body' as BodyDigest;
  const createCrash = (upstream: string, ageMilliseconds = 0, digest = body) => ({
    ageMilliseconds,
    body: digest,
    death: upstream as CrashId,
    upstream: upstream as UpstreamId,
  });

  test('refuses a body for a limited time after two crashes, one of them observed by another instance', () => {
    const [localQuarantine, remoteQuarantine] = [new Quarantine(), new Quarantine()];
    remoteQuarantine.recordCrash(createCrash('a'), 5_000);
    localQuarantine.recordCrash(createCrash('b'), 100);
    localQuarantine.recordCrash(createCrash('b'), 200);
    expect(localQuarantine.refusedUntil(body, 300)).toBeUndefined();
    for (const crash of remoteQuarantine.listRecentCrashes(5_100, 10)) {
      localQuarantine.recordCrash(crash, 300);
    }
    expect(localQuarantine.refusedUntil(body, 300)).toBe(
      200 + defaultQuarantineOptions.durationMilliseconds,
    );
    expect(localQuarantine.refusedUntil(body, 600_200)).toBeUndefined();
  });

  test('crashes of upstreams that processed a body at the same time count once', () => {
    const quarantine = new Quarantine();
    quarantine.recordCrash({ ...createCrash('a'), ranMilliseconds: 500 }, 1_000);
    quarantine.recordCrash({ ...createCrash('b'), ranMilliseconds: 500 }, 1_400);
    expect(quarantine.countCrashes(body, 1_400)).toBe(1);
    quarantine.recordCrash({ ...createCrash('c'), ranMilliseconds: 300 }, 1_400);
    expect(quarantine.countCrashes(body, 1_400)).toBe(2);
  });

  test('crashes seen by an instance whose clock is ahead are not taken for one', () => {
    const quarantine = new Quarantine();
    for (const [upstream, ageMilliseconds] of [
      ['a', -40],
      ['b', -30],
    ] as const) {
      quarantine.recordCrash(
        { ...createCrash(upstream, ageMilliseconds), ranMilliseconds: 10 },
        1_000,
      );
    }
    expect(quarantine.countCrashes(body, 1_000)).toBe(2);
  });

  test('crashes that are forgotten do not count, and only those before a time are found', () => {
    const quarantine = new Quarantine();
    quarantine.recordCrash(createCrash('a'), 1_000);
    quarantine.recordCrash(createCrash('b'), 2_000);
    expect(quarantine.findCrashesBefore(body, 2_000)).toEqual(['a']);
    quarantine.forgetCrash('a' as CrashId);
    expect(quarantine.countCrashes(body, 2_000)).toBe(1);
    quarantine.forgetCrash('b' as CrashId);
    expect(quarantine.size).toBe(0);
  });

  test('crashes older than the duration do not count, and memory is bounded', () => {
    const quarantine = new Quarantine({ ...defaultQuarantineOptions, maximumBodies: 5 });
    quarantine.recordCrash(createCrash('a', 600_000), 600_000);
    expect(quarantine.size).toBe(0);
    for (let index = 0; index < 100; index++) {
      quarantine.recordCrash(createCrash('a', 0, `body-${index}` as BodyDigest), index);
    }
    expect(quarantine.size).toBe(5);
    expect(quarantine.countCrashes('body-99' as BodyDigest, 100)).toBe(1);
  });
});

describe('enginePriority', () => {
  test.each([
    { attainedTokens: 0, deadline: undefined, expected: 1, isBelowShare: false, waited: 0 },
    { attainedTokens: 9_000, deadline: undefined, expected: 3, isBelowShare: false, waited: 0 },
    { attainedTokens: 9_000, deadline: undefined, expected: 2, isBelowShare: false, waited: 2_500 },
    { attainedTokens: 1e9, deadline: undefined, expected: 9, isBelowShare: false, waited: 0 },
    { attainedTokens: 1e9, deadline: 11_000, expected: 0, isBelowShare: false, waited: 0 },
    { attainedTokens: 1e9, deadline: undefined, expected: 0, isBelowShare: true, waited: 0 },
  ])('$attainedTokens tokens, $waited ms waited: $expected', row => {
    const { attainedTokens, deadline, isBelowShare } = row;
    const input = { attainedTokens, deadline, isBelowShare };
    const priority = enginePriority({ ...input, enqueuedAt: 10_000 - row.waited, now: 10_000 });
    expect(priority).toBe(row.expected);
  });
});
