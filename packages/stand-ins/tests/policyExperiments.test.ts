import type { PrefixDigest } from '@zincring/scheduling';

import { describe, expect, test } from 'vitest';

import type { ExperimentOptions } from '../src/experiments/policy/runExperiment.js';

import { measureCapacity } from '../src/experiments/policy/capacity.js';
import { deployments } from '../src/experiments/policy/deployments.js';
import { SimulatedPrefixCache } from '../src/experiments/policy/fleet/simulatedPrefixCache.js';
import { policyNames } from '../src/experiments/policy/policies.js';
import { runExperiment } from '../src/experiments/policy/runExperiment.js';
import { createScenario } from '../src/experiments/policy/scenarios.js';
import { generateWorkload } from '../src/experiments/policy/workload/generateWorkload.js';

const SEED = 1;
const length = { arrivalMilliseconds: 30_000, endMilliseconds: 900_000, warmUpMilliseconds: 0 };
const capacity = measureCapacity();

function optionsFor(changes: Partial<ExperimentOptions> = {}): ExperimentOptions {
  return {
    measuresSlowdown: false,
    deployment: deployments.utility,
    length,
    policy: 'ours',
    scenario: createScenario('load 0.8', capacity, length),
    seed: SEED,
    ...changes,
  };
}

describe('runExperiment', () => {
  test('gives the same result for the same seed and a different one for another seed', () => {
    const first = runExperiment(optionsFor());
    expect(runExperiment(optionsFor())).toEqual(first);
    expect(runExperiment(optionsFor({ seed: 2 }))).not.toEqual(first);
  });

  test('"ours" computes at most 1.15 of the ideal tokens and refuses nothing within rate', () => {
    const ours = runExperiment(optionsFor());
    expect(ours.computedRatio).toBeLessThanOrEqual(1.15);
    expect(ours.refusalsWithinRate).toBe(0);
    expect(ours.unfinished).toBe(0);
  });

  test.each(policyNames)('finishes every program under policy "%s" when replicas crash', policy => {
    const scenario = createScenario('two replicas lost', capacity, length);
    const result = runExperiment(
      optionsFor({ deployment: deployments.foundation, policy, scenario }),
    );
    expect(result.unfinished).toBe(0);
    expect(result.computedRatio).toBeGreaterThanOrEqual(1);
  });
});

describe('generateWorkload', () => {
  test('programs have 1 to 57 turns, and the largest workspace sends more than all others', () => {
    const { loads } = createScenario('load 0.95', capacity, length);
    const programs = generateWorkload({ durationMilliseconds: 200_000, loads, seed: SEED });
    const turns = programs.map(program => program.turns.length);
    expect(Math.min(...turns)).toBe(1);
    expect(Math.max(...turns)).toBe(57);
    const ofLargest = programs.filter(({ workspace }) => workspace === 'largest').length;
    expect(ofLargest).toBeGreaterThan(programs.length / 2);
  });
});

describe('SimulatedPrefixCache', () => {
  test('stays within its capacity, evicts leaves before roots, matches from the first prefix', () => {
    const evicted: string[] = [];
    const cache = new SimulatedPrefixCache(250, digest => evicted.push(digest));
    const chainOf = (program: string) => [
      { digest: `${program}/1` as PrefixDigest, tokens: 50 },
      { digest: `${program}/2` as PrefixDigest, tokens: 150 },
    ];
    cache.store('a', chainOf('a'));
    cache.store('b', chainOf('b'));
    expect(evicted).toEqual(['a/2']);
    expect(cache.match(chainOf('a'))).toBe(50);
    expect(cache.match(chainOf('b'))).toBe(150);
    cache.release('b');
    expect(cache.match(chainOf('b'))).toBe(50);
  });
});
