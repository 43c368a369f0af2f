import { describe, expect, it } from 'vitest';

import type { EngineLoad, LoadResult } from '../../support/engineLoad/playPrograms.js';

import { makeGatewayPolicy } from '../../support/engineLoad/gatewayPolicy.js';
import {
  burstOfPrograms,
  ordinaryPrograms,
  playPrograms,
} from '../../support/engineLoad/playPrograms.js';

const SEEDS = [1, 2, 3];
const PHASE_MILLISECONDS = 600;

/** Engines of three speeds whose entries say nothing of them. */
const uneven: EngineLoad['speedOf'] = engine => [0.55, 1, 1.2, 1][engine % 4]!;
/** Engines that are 2.5 times as slow for a tenth of the time, each by itself. */
const noisy: EngineLoad['speedOf'] = (engine, now) => {
  const phase = engine * 977 + Math.floor(now / PHASE_MILLISECONDS) * 7_919;
  return (Math.imul(phase, 2_654_435_761) >>> 0) % 10 === 0 ? 0.4 : 1;
};
/** A tenth of the engines are four times as slow for five seconds. */
const slowPhase: EngineLoad['speedOf'] = (engine, now) =>
  engine < 4 && now > 3_000 && now < 8_000 ? 0.25 : 1;

/** Plays the load with all seeds and returns the shares of all programs together. */
function play(
  learnsCosts: boolean,
  speedOf: EngineLoad['speedOf'],
  base = ordinaryPrograms,
): { earned: number; failed: number; onTime: number; tokensPerTurn: number } {
  const results = SEEDS.map(seed => {
    const load = { ...base, ...(speedOf && { speedOf }), seed };
    const options = { learnsCosts, limitsStarts: true, ordersByStage: true };
    return playPrograms(load, makeGatewayPolicy(load, options));
  });
  const sum = (count: (result: LoadResult) => number): number =>
    results.reduce((total, result) => total + count(result), 0);
  const programs = sum(result => result.programs);
  return {
    earned: sum(result => result.earnedShare) / SEEDS.length,
    failed: sum(result => result.failed) / programs,
    onTime: sum(result => result.onTime) / programs,
    tokensPerTurn: sum(result => result.computedTokensPerTurn) / SEEDS.length,
  };
}

/** Shared prompts that exceed the caches, at almost as many programs as the engines can serve. */
const nearLimit: EngineLoad = {
  ...ordinaryPrograms,
  engines: 34,
  programsPerSecond: () => 90,
  sharedPrompts: 80,
  sheet: {
    ...ordinaryPrograms.sheet,
    cacheTokens: 470_000,
    prefillTokensPerMillisecond: 170,
    slots: 16,
  },
};
/** Worth that a decision may cost a load that it is not made for. */
const TOLERATED_LOSS = 0.03;

describe('placement by learned costs', () => {
  it('completes more programs in time on engines of uneven speeds', () => {
    const constant = play(false, uneven);
    const learned = play(true, uneven);
    expect(learned.onTime).toBeGreaterThan(constant.onTime + 0.05);
    expect(learned.failed).toBeLessThanOrEqual(constant.failed);
  });

  it('loses fewer programs at engines that turn slow for some seconds', () => {
    const constant = play(false, slowPhase);
    const learned = play(true, slowPhase);
    expect(learned.failed).toBeLessThan(constant.failed / 2);
    expect(learned.onTime).toBeGreaterThan(constant.onTime - 0.01);
  });

  it.each([
    ['even', undefined],
    ['even but noisy', noisy],
  ])('leaves programs in time and caches in use on engines that are %s', (_name, speedOf) => {
    const constant = play(false, speedOf);
    const learned = play(true, speedOf);
    expect(learned.onTime).toBeGreaterThan(constant.onTime - 0.01);
    expect(learned.tokensPerTurn).toBeLessThan(constant.tokensPerTurn * 1.15);
  });

  it.each([
    ['in a burst of programs', burstOfPrograms],
    ['near the limit of the engines', nearLimit],
  ])('leaves conversations at their caches %s', (_name, load) => {
    const constant = play(false, undefined, load);
    const learned = play(true, undefined, load);
    expect(learned.earned).toBeGreaterThan(constant.earned - TOLERATED_LOSS);
  });
});
