import type { WorkspaceName } from '@zincring/core';

import { ManualTimerService } from '@zincring/core';
import { WorkspaceShares } from '@zincring/scheduling';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';

const SEED = 6_002;
/** Use above which the decision holds it against a workspace. */
const TOLERATED_USE = 1.2;
const LOAD = 1.4;

function createShares(weights: Readonly<Record<string, number>> = {}): {
  readonly shares: WorkspaceShares;
  readonly timers: ManualTimerService;
} {
  const timers = new ManualTimerService();
  return {
    shares: new WorkspaceShares({ timers, weightOf: name => weights[name] ?? 1 }),
    timers,
  };
}

function useOf(shares: WorkspaceShares, workspace: string, load = LOAD): number {
  return shares.findStanding(workspace as WorkspaceName, load).use;
}

describe(WorkspaceShares, () => {
  test.each<[string, Record<string, number>, Record<string, number>, string[]]>([
    ['equal use', { a: 40, b: 40, c: 40 }, {}, []],
    ['one that sends many times its usual', { a: 280, b: 40, c: 40, d: 40, e: 40 }, {}, ['a']],
    ['one whose rate is as large as its use', { a: 280, b: 40, c: 40 }, { a: 7 }, []],
    ['one that uses what others leave', { a: 400 }, {}, []],
    ['uses that others do not name', { '': 400, a: 40 }, {}, []],
    ['too few samples', { a: 15, b: 1 }, {}, []],
  ])('%s', (_name, counts, weights, beyond) => {
    const { shares } = createShares(weights);
    shares.record(counts);
    const found = Object.keys(counts).filter(name => useOf(shares, name) > TOLERATED_USE);
    expect(found).toEqual(beyond);
  });

  test('nothing is beyond its share while the places suffice', () => {
    const { shares } = createShares();
    shares.record({ a: 280, b: 10 });
    expect(useOf(shares, 'a', 1)).toBe(0);
  });

  test('forgets a burst in a few times its length', () => {
    const { shares, timers } = createShares();
    shares.record({ a: 280, b: 40, c: 40, d: 40, e: 40 });
    timers.skip(20_000);
    expect(useOf(shares, 'a')).toBe(0);
  });

  test('never holds against a workspace what is within an equal share', () => {
    const counts = fc.array(fc.integer({ max: 500, min: 0 }), { maxLength: 60, minLength: 2 });
    fc.assert(
      fc.property(counts, fc.double({ max: 4, min: 1.01, noNaN: true }), (uses, load) => {
        const { shares } = createShares();
        shares.record(Object.fromEntries(uses.map((count, index) => [`w${String(index)}`, count])));
        const mean = uses.reduce((sum, count) => sum + count, 0) / uses.length;
        uses.forEach((count, index) => {
          if (count <= mean) {
            expect(useOf(shares, `w${String(index)}`, load)).toBeLessThanOrEqual(TOLERATED_USE);
          }
        });
        expect(shares.findStanding('w0' as WorkspaceName, load).crowding).toBeLessThanOrEqual(1);
      }),
      { numRuns: 300, seed: SEED },
    );
  });

  test('names the largest few of its own and counts the others together', () => {
    const { shares } = createShares();
    const ends = Array.from({ length: 12 }, (_unused, index) => {
      shares.begin(`w${String(index)}` as WorkspaceName);
      return shares.begin(`w${String(index % 2)}` as WorkspaceName);
    });
    expect(shares.ownCounts).toMatchObject({ '': 4, w0: 7, w1: 7 });
    expect(Object.keys(shares.ownCounts)).toHaveLength(9);
    ends.forEach(end => {
      end();
    });
    expect(shares.ownCounts).toMatchObject({ '': 4, w0: 1, w1: 1 });
  });
});
