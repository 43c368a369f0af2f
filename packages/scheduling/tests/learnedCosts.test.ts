import { hash32 } from '@zincring/core';
import {
  defaultLearnedCostOptions as options,
  expectTurnMilliseconds,
  ReplicaSlowness,
  RobustMean,
  scoreRendezvous,
  ServiceCosts,
} from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

describe('RobustMean', () => {
  test.each<[string, readonly number[], number, number]>([
    ['keeps the fallback without samples', [], 100, 100],
    ['moves little by one slow answer', [10_000], 100, 115],
    ['follows samples that agree', Array.from({ length: 40 }, () => 200), 170, 200],
    ['is hardly moved by one in ten that is far off', repeat([...tens(9), 10_000], 6), 100, 130],
    ['follows down as well', Array.from({ length: 40 }, () => 25), 25, 35],
  ])('%s', (_name, samples, least, most) => {
    const mean = new RobustMean(100, options.service);
    samples.forEach((sample, index) => {
      mean.record(sample, index * 100);
    });
    const estimate = mean.estimate(samples.length * 100);
    expect(estimate).toBeGreaterThanOrEqual(least);
    expect(estimate).toBeLessThanOrEqual(most);
  });

  test('returns to the fallback with age, and says nothing beyond the maximum age', () => {
    const mean = new RobustMean(100, options.service);
    for (let now = 0; now < 4_000; now += 100) {
      mean.record(400, now);
    }
    const estimates = [4_000, 10_000, 20_000, 40_000].map(now => mean.estimate(now));
    expect(estimates).toEqual([...estimates].sort((left, right) => right - left));
    expect(mean.estimate(4_000 + options.service.maximumAgeMilliseconds)).toBe(100);
  });
});

describe('ServiceCosts', () => {
  function learn(prefillTokensPerMillisecond: number, turns: number): ServiceCosts {
    const costs = new ServiceCosts(options);
    for (let turn = 0; turn < turns; turn++) {
      const uncachedTokens = turn % 3 === 0 ? 14_280 : 1_680;
      const prompt = { promptTokens: 14_280, uncachedTokens };
      const jitter = 1 + 0.1 * Math.sin(turn);
      const firstEvent = (20 + uncachedTokens / prefillTokensPerMillisecond) * jitter;
      costs.recordFirstEvent(firstEvent, prompt, turn * 100);
      costs.recordTurn(firstEvent + 160, turn * 100);
    }
    return costs;
  }

  test('begins with the costs of a common engine', () => {
    const estimate = learn(256, 0).estimate(0);
    expect(estimate.prefillMillisecondsPerToken).toBeCloseTo(1 / 147, 10);
    expect(estimate.turnMilliseconds).toBeCloseTo(350, 6);
    expect(estimate.batchMilliseconds).toBeCloseTo(15, 6);
    expect(estimate.callMilliseconds).toBeCloseTo(40, 6);
  });

  test.each([60, 170, 256])('learns what a prompt token takes at %i tokens a ms', speed => {
    const { prefillMillisecondsPerToken } = learn(speed, 120).estimate(12_000);
    expect(prefillMillisecondsPerToken * speed).toBeGreaterThan(0.75);
    expect(prefillMillisecondsPerToken * speed).toBeLessThan(1.3);
  });

  test('measures calls by their kind, so that long ones do not make a replica slow', () => {
    const costs = new ServiceCosts(options);
    const ratios = Array.from({ length: 60 }, (_unused, call) =>
      costs.recordCall(call % 2 === 0 ? 'long' : 'short', call % 2 === 0 ? 104 : 7, call * 50),
    );
    expect(ratios.slice(0, 8)).toEqual(Array.from({ length: 8 }, () => undefined));
    ratios.slice(40).forEach(ratio => {
      expect(ratio).toBeGreaterThan(0.8);
      expect(ratio).toBeLessThan(1.25);
    });
  });
});

describe('ReplicaSlowness', () => {
  test('takes equal replicas for equal, and needs more than one slow answer', () => {
    const slowness = new ReplicaSlowness(options);
    slowness.record(8, 0);
    expect(slowness.estimate(0)).toBe(1);
    [0.8, 1.2, 1.1, 0.9].forEach((ratio, index) => {
      slowness.record(ratio, 100 + index);
    });
    expect(slowness.estimate(200)).toBe(1);
  });

  test('judges a replica slow within a few answers, and well by degrees', () => {
    const slowness = new ReplicaSlowness(options);
    const verdicts: string[] = [];
    for (let now = 0; now < 3_000; now += 200) {
      slowness.record(now < 1_200 ? 3 : 1, now);
      verdicts.push(slowness.judge(now) ?? '-');
    }
    expect(verdicts.filter(verdict => verdict !== '-')).toEqual(['slow', 'well']);
    expect(verdicts.indexOf('slow')).toBeLessThanOrEqual(3);
  });

  test('forgets without evidence', () => {
    const slowness = new ReplicaSlowness(options);
    for (let now = 0; now < 1_000; now += 100) {
      slowness.record(3, now);
    }
    expect(slowness.estimate(1_000)).toBeGreaterThan(2);
    expect(slowness.estimate(900 + options.replica.maximumAgeMilliseconds)).toBe(1);
  });
});

describe('scoreRendezvous', () => {
  const replicas = Array.from({ length: 20 }, (_unused, index) => `r${String(index)}`);

  function findHome(key: string, slownessOf: (replica: string) => number): string {
    const scores = replicas.map(replica =>
      scoreRendezvous(hash32(`${key}\n${replica}`), slownessOf(replica)),
    );
    return replicas[scores.indexOf(Math.min(...scores))] ?? '';
  }

  test('gives a slow replica its part, and moves no other key', () => {
    const keys = Array.from({ length: 8_000 }, (_unused, index) => `session-${String(index)}`);
    const even = keys.map(key => findHome(key, () => 1));
    const uneven = keys.map(key => findHome(key, replica => (replica === 'r7' ? 2 : 1)));
    const count = (homes: readonly string[]): number => homes.filter(home => home === 'r7').length;
    expect(count(uneven) / count(even)).toBeGreaterThan(0.4);
    expect(count(uneven) / count(even)).toBeLessThan(0.6);
    keys.forEach((_key, index) => {
      expect([even[index], uneven[index]].includes('r7') || even[index] === uneven[index]).toBe(
        true,
      );
    });
  });

  test('is the lowest hash among equals, as in builds before', () => {
    for (let key = 0; key < 200; key++) {
      const hashes = replicas.map(replica => hash32(`${String(key)}\n${replica}`));
      const lowest = replicas[hashes.indexOf(Math.min(...hashes))];
      expect(findHome(String(key), () => 1)).toBe(lowest);
    }
  });
});

describe('expectTurnMilliseconds', () => {
  const costs = new ServiceCosts(options).estimate(0);
  const idle = { inFlight: 0, slots: 12, slowness: 1, uncachedTokens: 0 };

  test.each([
    ['an idle engine', idle, 350],
    ['a prompt that is not cached', { ...idle, uncachedTokens: 14_700 }, 450],
    ['a batch', { ...idle, inFlight: 2 }, 380],
    ['a queue', { ...idle, inFlight: 13 }, 350 + 13 * 15 + 2 * 350],
    ['a slow engine', { ...idle, slowness: 2, uncachedTokens: 14_700 }, 900],
  ])('of %s', (_name, standing, expected) => {
    expect(expectTurnMilliseconds(costs, standing)).toBeCloseTo(expected, 6);
  });
});

function tens(count: number): number[] {
  return Array.from({ length: count }, () => 100);
}

function repeat(samples: readonly number[], times: number): number[] {
  return Array.from({ length: times }, () => samples).flat();
}
