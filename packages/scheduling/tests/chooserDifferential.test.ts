import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { PrefixDigest, PromptPrefix } from '@zincring/scheduling';

import { CostReplicaChooser } from '@zincring/scheduling';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';

const SEED = 5_002;
const REPLICAS = 6;
const PROGRAMS = 4;
const COST_TOLERANCE_MILLISECONDS = 20;
const options = {
  batchDelayMillisecondsPerToken: 0.05,
  callMilliseconds: 1_000,
  maximumPrefixes: 1_000,
  prefillMillisecondsPerToken: 0.2,
  random: () => 0.5,
  sharingMilliseconds: 30,
  slotsPerReplica: 2,
  zone: 'a' as AvailabilityZone,
  zoneMilliseconds: 25,
};
const replicaId = (index: number): UpstreamId => `replica-${index}` as UpstreamId;
const zoneOf = (index: number): AvailabilityZone =>
  (index % 2 === 0 ? 'a' : 'b') as AvailabilityZone;
const chainOf = (program: number, turns: number): readonly PromptPrefix[] =>
  Array.from({ length: turns }, (_, turn) => ({
    digest: `${program}/${turn}` as PrefixDigest,
    tokens: (turn + 1) * 1_000,
  }));

const operationArbitrary = fc.oneof(
  fc.record({
    busyReplicas: fc.array(fc.nat(REPLICAS - 1), { maxLength: REPLICAS }),
    excluded: fc.array(fc.nat(REPLICAS - 1), { maxLength: 2 }),
    kind: fc.constant('choose' as const),
    program: fc.nat(PROGRAMS - 1),
    turns: fc.integer({ max: 8, min: 1 }),
  }),
  fc.record({
    kind: fc.constant('send' as const),
    program: fc.nat(PROGRAMS - 1),
    replica: fc.nat(REPLICAS - 1),
    turns: fc.integer({ max: 8, min: 1 }),
  }),
  fc.record({
    kind: fc.constant('evict' as const),
    program: fc.nat(PROGRAMS - 1),
    replica: fc.nat(REPLICAS - 1),
    turn: fc.nat(7),
  }),
  fc.record({
    calls: fc.nat(8),
    kind: fc.constant('report' as const),
    replica: fc.nat(REPLICAS - 1),
  }),
);

describe('CostReplicaChooser compared with a reference implementation', () => {
  test('chooses an available replica of nearly the lowest cost, or waits, after any sequence of operations', () => {
    fc.assert(
      fc.property(fc.array(operationArbitrary, { maxLength: 80, minLength: 10 }), operations => {
        const chooser = new CostReplicaChooser(options);
        const replicas = Array.from({ length: REPLICAS }, (_, index) => index);
        chooser.update(replicas.map(index => ({ id: replicaId(index), zone: zoneOf(index) })));
        const cachedDigests = replicas.map(() => new Set<string>());
        const ownInFlight = replicas.map(() => 0);
        const othersInFlight = replicas.map(() => 0);
        for (const [now, operation] of operations.entries()) {
          switch (operation.kind) {
            case 'choose': {
              const prefixes = chainOf(operation.program, operation.turns);
              const promptTokens = operation.turns * 1_000 + 300;
              const costOf = (index: number): number => {
                const cached = prefixes
                  .filter(({ digest }) => cachedDigests[index]!.has(digest))
                  .at(-1);
                const calls = ownInFlight[index]! + othersInFlight[index]!;
                const lacksCapacity = operation.busyReplicas.includes(index);
                const slotsToWaitFor = Math.max(
                  lacksCapacity ? 1 : 0,
                  calls - options.slotsPerReplica + 1,
                );
                return (
                  (slotsToWaitFor * options.callMilliseconds) / options.slotsPerReplica +
                  (promptTokens - (cached?.tokens ?? 0)) *
                    (options.prefillMillisecondsPerToken +
                      Math.min(calls, options.slotsPerReplica) *
                        options.batchDelayMillisecondsPerToken) +
                  calls * options.sharingMilliseconds +
                  (zoneOf(index) === options.zone ? 0 : options.zoneMilliseconds)
                );
              };
              const allowed = replicas.filter(index => !operation.excluded.includes(index));
              const lowestCost = Math.min(...allowed.map(costOf));
              const eligible = allowed.filter(
                index =>
                  costOf(index) <= lowestCost + COST_TOLERANCE_MILLISECONDS &&
                  !operation.busyReplicas.includes(index),
              );
              const excluded = new Set(operation.excluded.map(replicaId));
              const request = { excluded, prefixes, promptTokens };
              const placement = chooser.choose(
                request,
                now,
                candidate => !operation.busyReplicas.some(index => replicaId(index) === candidate),
              );
              expect(eligible.map(replicaId)).toEqual(
                eligible.length === 0 ? [] : expect.arrayContaining([placement?.replica]),
              );
              expect(placement === undefined).toBe(eligible.length === 0);
              break;
            }
            case 'send':
              chooser.recordDispatch(
                replicaId(operation.replica),
                chainOf(operation.program, operation.turns),
                now,
              );
              ownInFlight[operation.replica]!++;
              for (const { digest } of chainOf(operation.program, operation.turns)) {
                addCachedPrefix(cachedDigests, operation.replica, digest);
              }
              break;
            case 'evict': {
              const digest = `${operation.program}/${operation.turn}` as PrefixDigest;
              chooser.observeCacheChange({
                change: 'evicted',
                digest,
                replica: replicaId(operation.replica),
              });
              cachedDigests[operation.replica]!.delete(digest);
              break;
            }
            case 'report':
              chooser.observeLoad(replicaId(operation.replica), {
                measuredAt: now,
                running: operation.calls,
                waiting: 0,
              });
              othersInFlight[operation.replica] = Math.max(
                0,
                operation.calls - ownInFlight[operation.replica]!,
              );
              break;
          }
        }
      }),
      { numRuns: 300, seed: SEED },
    );
  });
});

const MAXIMUM_REPLICAS_PER_PREFIX = 4;
const recentReplicasByDigest = new WeakMap<Set<string>[], Map<string, number[]>>();

/**
 * Records a prefix at a replica and keeps it only at the four replicas that got it last, as the
 * index does.
 */
function addCachedPrefix(cachedDigests: Set<string>[], replica: number, digest: string): void {
  const byDigest = recentReplicasByDigest.get(cachedDigests) ?? new Map<string, number[]>();
  recentReplicasByDigest.set(cachedDigests, byDigest);
  const recentReplicas = (byDigest.get(digest) ?? []).filter(
    index => index !== replica && cachedDigests[index]!.has(digest),
  );
  recentReplicas.push(replica);
  cachedDigests[replica]!.add(digest);
  if (recentReplicas.length > MAXIMUM_REPLICAS_PER_PREFIX) {
    cachedDigests[recentReplicas.shift()!]!.delete(digest);
  }
  byDigest.set(digest, recentReplicas);
}
