import type { ShardId } from '@zincring/core';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { LeaseNode } from './leaseCluster.js';

import { LeaseCluster, SHARD_COUNT, terms } from './leaseCluster.js';

const SEED = 20_261_203;

/** Clock rates that differ by less than the margin allows. */
const clockRates = [1, 1.03, 0.97];

type Step =
  | { readonly kind: 'advance'; readonly milliseconds: number }
  | { readonly kind: 'errors' | 'lost'; readonly node: number; readonly count: number }
  | {
      readonly kind: 'fail-owner' | 'outage' | 'pause' | 'replace' | 'resume';
      readonly node: number;
    }
  | { readonly kind: 'fate'; readonly node: number; readonly next: LeaseNode['nextWriteOutcome'] }
  | { readonly kind: 'heal' }
  | { readonly kind: 'see'; readonly node: number; readonly seen: readonly number[] }
  | { readonly kind: 'slow'; readonly node: number; readonly milliseconds: number }
  | { readonly kind: 'step-clock'; readonly node: number; readonly milliseconds: number };

const nodeIndex = fc.nat({ max: clockRates.length - 1 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(50, 250, 1_000, 2_500, 6_000),
    }),
    weight: 5,
  },
  {
    arbitrary: fc.record({
      kind: fc.constantFrom('fail-owner', 'outage', 'pause', 'replace', 'resume' as const),
      node: nodeIndex,
    }),
    weight: 4,
  },
  {
    arbitrary: fc.record({
      count: fc.integer({ max: 3, min: 1 }),
      kind: fc.constantFrom('errors', 'lost' as const),
      node: nodeIndex,
    }),
    weight: 3,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('fate' as const),
      next: fc.record({
        count: fc.integer({ max: 6, min: 1 }),
        outcome: fc.constantFrom('late', 'lost', 'refused' as const),
        prefix: fc.constantFrom('shard/', 'session/'),
      }),
      node: nodeIndex,
    }),
    weight: 3,
  },
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({
    kind: fc.constant('see' as const),
    node: nodeIndex,
    seen: fc.uniqueArray(nodeIndex),
  }),
  fc.record({
    kind: fc.constant('slow' as const),
    milliseconds: fc.constantFrom(0, 300, 1_500, 7_000),
    node: nodeIndex,
  }),
  fc.record({
    kind: fc.constant('step-clock' as const),
    milliseconds: fc.integer({ max: 86_400_000, min: -86_400_000 }),
    node: nodeIndex,
  }),
);

function clearFaults(cluster: LeaseCluster): void {
  cluster.healMembership();
  for (const each of cluster.nodes) {
    each.tableFaults.set({ errors: 0, latencyMilliseconds: 0, lostAnswers: 0, outage: 'none' });
    each.recoveryMilliseconds = 0;
    each.responseDelayMilliseconds = 0;
    each.nextWriteOutcome = undefined;
    each.resume();
  }
}

async function performStep(cluster: LeaseCluster, step: Step): Promise<void> {
  if (step.kind === 'advance') {
    await cluster.advance(step.milliseconds);
  } else if (step.kind === 'heal') {
    clearFaults(cluster);
  } else {
    performNodeStep(cluster, step);
  }
}

function performNodeStep(
  cluster: LeaseCluster,
  step: Exclude<Step, { kind: 'advance' } | { kind: 'heal' }>,
): void {
  const target = cluster.nodes[step.node]!;
  switch (step.kind) {
    case 'errors':
      target.tableFaults.set({ errors: step.count });
      return;
    case 'lost':
      target.tableFaults.set({ lostAnswers: step.count });
      return;
    case 'fate':
      target.nextWriteOutcome = step.next && { ...step.next };
      return;
    case 'fail-owner':
      target.remainingRecoveryFailures = 2;
      target.remainingHandoverFailures = 1;
      return;
    case 'outage':
      target.tableFaults.set({ outage: 'refuse' });
      return;
    case 'pause':
      target.pause();
      return;
    case 'replace':
      cluster.replace(step.node);
      return;
    case 'resume':
      target.resume();
      return;
    case 'see':
      target.eligible = new Set([target.name, ...step.seen.map(index => cluster.names[index]!)]);
      return;
    case 'slow':
      target.recoveryMilliseconds = step.milliseconds;
      target.tableFaults.set({ latencyMilliseconds: step.milliseconds });
      target.responseDelayMilliseconds = step.milliseconds;
      return;
    case 'step-clock':
      target.timers.stepWallClock(step.milliseconds);
  }
}

describe('ownership of shards', () => {
  it('has at most one holder at any time, and the preferred one after the faults', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 40, minLength: 10 }), async steps => {
        const cluster = new LeaseCluster(clockRates);
        cluster.healMembership();
        for (const step of steps) {
          await performStep(cluster, step);
          cluster.check();
        }
        clearFaults(cluster);
        await cluster.advance(8 * terms.termMilliseconds);
        expect(cluster.isSettled).toBe(true);
      }),
      { numRuns: 60, seed: SEED },
    );
  });
});

describe('a single fault', () => {
  async function createSettledPair(): Promise<LeaseCluster> {
    const cluster = new LeaseCluster([1, 1]);
    cluster.healMembership();
    await cluster.advance(3 * terms.termMilliseconds);
    expect(cluster.isSettled).toBe(true);
    return cluster;
  }

  it('keeps the session when a renewal takes longer than the interval', async () => {
    const cluster = await createSettledPair();
    const [first] = cluster.nodes;
    const { incarnation } = first!.leases;
    first!.tableFaults.set({ latencyMilliseconds: 1_700 });
    await cluster.advance(4 * terms.termMilliseconds);
    expect(first!.leases.incarnation).toBe(incarnation);
  });

  it.each([1, 2, 3])('keeps the session when the responses to %i writes are lost', async count => {
    const cluster = await createSettledPair();
    const [first] = cluster.nodes;
    const { incarnation } = first!.leases;
    first!.tableFaults.set({ lostAnswers: count });
    await cluster.advance(4 * terms.termMilliseconds);
    expect(first!.leases.incarnation).toBe(incarnation);
    expect(cluster.isSettled).toBe(true);
  });

  it('eventually releases a shard when its handover and the writes of its row fail', async () => {
    const cluster = await createSettledPair();
    const [first, second] = cluster.nodes;
    first!.remainingHandoverFailures = SHARD_COUNT;
    first!.eligible = new Set([second!.name]);
    second!.eligible = new Set([second!.name]);
    first!.nextWriteOutcome = { count: 60, outcome: 'refused', prefix: 'shard/' };
    await cluster.advance(3 * terms.termMilliseconds);
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      expect(cluster.holdersOf(shard as ShardId)).toEqual([second!.name]);
    }
  });

  it('keeps renewing and acquiring while a recovery takes longer than the term', async () => {
    const cluster = await createSettledPair();
    const [, second] = cluster.nodes;
    second!.recoveryMilliseconds = 3 * terms.termMilliseconds;
    const { incarnation } = second!.leases;
    cluster.nodes[0]!.kill();
    second!.eligible = new Set([second!.name]);
    await cluster.advance(6 * terms.termMilliseconds);
    expect(second!.leases.incarnation).toBe(incarnation);
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      expect(cluster.holdersOf(shard as ShardId)).toEqual([second!.name]);
    }
  });

  it.each(['session/', 'shard/'])(
    'keeps its shards when a write to %s arrives late',
    async prefix => {
      const cluster = await createSettledPair();
      const [first] = cluster.nodes;
      const { incarnation } = first!.leases;
      first!.nextWriteOutcome = { count: 1, outcome: 'late', prefix };
      await cluster.advance(4 * terms.termMilliseconds);
      expect(first!.leases.incarnation).toBe(incarnation);
      expect(cluster.isSettled).toBe(true);
    },
  );

  it.each(['late', 'lost'] as const)(
    'leaves no shard unheld whose acquisition was %s before another instance became preferred',
    async scriptedOutcome => {
      const cluster = new LeaseCluster([1, 1]);
      const [first, second] = cluster.nodes;
      second!.eligible = new Set([first!.name]);
      first!.nextWriteOutcome = { count: 1, outcome: scriptedOutcome, prefix: 'shard/' };
      await cluster.advance(terms.renewMilliseconds + 50);
      expect(first!.nextWriteOutcome).toBeUndefined();
      first!.eligible = new Set([second!.name]);
      second!.eligible = new Set([second!.name]);
      await cluster.advance(4 * terms.termMilliseconds);
      for (let shard = 0; shard < SHARD_COUNT; shard++) {
        expect(cluster.holdersOf(shard as ShardId)).toEqual([second!.name]);
      }
    },
  );

  it('measures its term from before the renewal, however late the response arrives', async () => {
    const cluster = await createSettledPair();
    const [first, second] = cluster.nodes;
    second!.eligible = new Set([second!.name]);
    first!.responseDelayMilliseconds = 4_800;
    await cluster.advance(1_000);
    first!.tableFaults.set({ outage: 'refuse' });
    await cluster.advance(4 * terms.termMilliseconds);
    expect(cluster.holdersOf(0 as ShardId)).toEqual([second!.name]);
  });

  it('ends its session permanently at a planned stop', async () => {
    const cluster = await createSettledPair();
    const [first, second] = cluster.nodes;
    second!.eligible = new Set([second!.name]);
    first!.eligible = new Set([second!.name]);
    const stopped = first!.leases.stop();
    await cluster.advance(terms.termMilliseconds);
    await stopped;
    const sessions = cluster.platform.table.scan({ limit: 10, prefix: 'session/' }).rows;
    expect(sessions.map(row => row.key)).toEqual([`session/${second!.leases.incarnation}`]);
  });
});

describe('sessions of stopped instances', () => {
  it('are ended even if they held no shard, while those of live instances are kept', async () => {
    const cluster = new LeaseCluster([1, 1, 1]);
    const [first, second, third] = cluster.nodes;
    for (const each of cluster.nodes) {
      each.eligible = new Set([first!.name]);
    }
    await cluster.advance(3 * terms.termMilliseconds);
    third!.kill();
    for (let round = 0; round < 3; round++) {
      const ended = first!.leases.endAbandonedSessions();
      await cluster.advance(2 * terms.termMilliseconds);
      await ended;
    }
    const { rows } = cluster.platform.table.scan({ limit: 10, prefix: 'session/' });
    expect(rows.map(row => row.key)).toEqual(
      [first!, second!].map(each => `session/${each.leases.incarnation}`),
    );
  });
});

describe('takeover time', () => {
  /** Returns the milliseconds until the second instance holds all shards that the first held. */
  async function measureTakeover(cluster: LeaseCluster): Promise<number> {
    const [, second] = cluster.nodes;
    const countHeldShards = (): number =>
      second!.leases.heldShards.filter(shard => second!.leases.status(shard) === 'held').length;
    for (let elapsed = 0; ; elapsed += 50) {
      if (countHeldShards() === SHARD_COUNT || elapsed > 10 * terms.termMilliseconds) {
        return elapsed;
      }
      await cluster.advance(50);
    }
  }

  it('is about one term after a crash and about one renewal interval after a stop', async () => {
    const ratios: Record<string, number> = {};
    for (const kind of ['crash', 'stop'] as const) {
      const cluster = new LeaseCluster([1, 1]);
      cluster.healMembership();
      await cluster.advance(3 * terms.termMilliseconds);
      const [first, second] = cluster.nodes;
      second!.eligible = new Set([second!.name]);
      if (kind === 'crash') {
        first!.kill();
      } else {
        first!.eligible = new Set([second!.name]);
        void first!.leases.stop();
      }
      ratios[kind] = (await measureTakeover(cluster)) / terms.termMilliseconds;
    }
    console.log(`takeover in lease terms: ${JSON.stringify(ratios)}`);
    expect(ratios['crash']).toBeLessThanOrEqual(1.5);
    expect(ratios['stop']).toBeLessThanOrEqual(0.5);
  });
});
