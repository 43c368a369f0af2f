import type { PrefixDigest } from '@zincring/scheduling';

import { describe, expect, test } from 'vitest';

import type { ExperimentOptions } from '../src/experiments/policy/runExperiment.js';

import { measureCapacity } from '../src/experiments/policy/capacity.js';
import { deployments } from '../src/experiments/policy/deployments.js';
import { PrefixMemory } from '../src/experiments/policy/fleet/prefixMemory.js';
import { policyNames } from '../src/experiments/policy/policies.js';
import { runExperiment } from '../src/experiments/policy/runExperiment.js';
import { createScenario } from '../src/experiments/policy/scenarios.js';
import { generateWorkload } from '../src/experiments/policy/workload/generateWorkload.js';

const SEED = 1;
const length = { arrivals: 30_000, until: 900_000, warmUp: 0 };
const capacity = measureCapacity();

function optionsFor(changes: Partial<ExperimentOptions> = {}): ExperimentOptions {
  return {
    comparesAlone: false,
    deployment: deployments.utility,
    length,
    policy: 'ours',
    scenario: createScenario('load 0.8', capacity, length),
    seed: SEED,
    ...changes,
  };
}

describe('experiments on the policy', () => {
  test('the same seed gives the same figures, another seed others', () => {
    const first = runExperiment(optionsFor());
    expect(runExperiment(optionsFor())).toEqual(first);
    expect(runExperiment(optionsFor({ seed: 2 }))).not.toEqual(first);
  });

  test('ours computes at most 1.15 of the ideal and refuses nothing within rate', () => {
    const ours = runExperiment(optionsFor());
    expect(ours.computedRatio).toBeLessThanOrEqual(1.15);
    expect(ours.refusalsWithinRate).toBe(0);
    expect(ours.unfinished).toBe(0);
  });

  test.each(policyNames)('every program ends under the policy "%s", with replicas lost', policy => {
    const scenario = createScenario('two replicas lost', capacity, length);
    const figures = runExperiment(
      optionsFor({ deployment: deployments.foundation, policy, scenario }),
    );
    expect(figures.unfinished).toBe(0);
    expect(figures.computedRatio).toBeGreaterThanOrEqual(1);
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

describe('PrefixMemory', () => {
  test('keeps within its size, drops leaves before roots, and matches from the first prefix on', () => {
    const evicted: string[] = [];
    const memory = new PrefixMemory(250, digest => evicted.push(digest));
    const chainOf = (program: string) => [
      { digest: `${program}/1` as PrefixDigest, tokens: 50 },
      { digest: `${program}/2` as PrefixDigest, tokens: 150 },
    ];
    memory.store('a', chainOf('a'));
    memory.store('b', chainOf('b'));
    expect(evicted).toEqual(['a/2']);
    expect(memory.match(chainOf('a'))).toBe(50);
    expect(memory.match(chainOf('b'))).toBe(150);
    memory.release('b');
    expect(memory.match(chainOf('b'))).toBe(50);
  });
});
