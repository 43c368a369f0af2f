import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { PrefixDigest, PromptPrefix } from '@zincring/scheduling';

import { CostReplicaChooser } from '@zincring/scheduling';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';

const SEED = 5_002;
const REPLICAS = 6;
const PROGRAMS = 4;
const EQUAL_COST = 20;
const options = {
  batchDelayMillisecondsPerToken: 0.05,
  callMilliseconds: 1_000,
  maxPrefixes: 1_000,
  prefillMillisecondsPerToken: 0.2,
  random: () => 0.5,
  sharingMilliseconds: 30,
  slotsPerReplica: 2,
  zone: 'a' as AvailabilityZone,
  zoneMilliseconds: 25,
};
const id = (index: number): UpstreamId => `replica-${index}` as UpstreamId;
const zoneOf = (index: number): AvailabilityZone =>
  (index % 2 === 0 ? 'a' : 'b') as AvailabilityZone;
const chainOf = (program: number, turns: number): readonly PromptPrefix[] =>
  Array.from({ length: turns }, (_, turn) => ({
    digest: `${program}/${turn}` as PrefixDigest,
    tokens: (turn + 1) * 1_000,
  }));

const step = fc.oneof(
  fc.record({
    closed: fc.array(fc.nat(REPLICAS - 1), { maxLength: REPLICAS }),
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

describe('CostReplicaChooser against a plain version', () => {
  test('takes a replica of the least cost, or waits for one, through any history', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, minLength: 10 }), steps => {
        const chooser = new CostReplicaChooser(options);
        const replicas = Array.from({ length: REPLICAS }, (_, index) => index);
        chooser.update(replicas.map(index => ({ id: id(index), zone: zoneOf(index) })));
        const held = replicas.map(() => new Set<string>());
        const sent = replicas.map(() => 0);
        const others = replicas.map(() => 0);
        for (const [now, each] of steps.entries()) {
          switch (each.kind) {
            case 'choose': {
              const prefixes = chainOf(each.program, each.turns);
              const promptTokens = each.turns * 1_000 + 300;
              const costOf = (index: number): number => {
                const cached = prefixes.filter(({ digest }) => held[index]!.has(digest)).at(-1);
                const calls = sent[index]! + others[index]!;
                const isClosed = each.closed.includes(index);
                const places = Math.max(isClosed ? 1 : 0, calls - options.slotsPerReplica + 1);
                return (
                  (places * options.callMilliseconds) / options.slotsPerReplica +
                  (promptTokens - (cached?.tokens ?? 0)) *
                    (options.prefillMillisecondsPerToken +
                      Math.min(calls, options.slotsPerReplica) *
                        options.batchDelayMillisecondsPerToken) +
                  calls * options.sharingMilliseconds +
                  (zoneOf(index) === options.zone ? 0 : options.zoneMilliseconds)
                );
              };
              const allowed = replicas.filter(index => !each.excluded.includes(index));
              const least = Math.min(...allowed.map(costOf));
              const good = allowed.filter(
                index => costOf(index) <= least + EQUAL_COST && !each.closed.includes(index),
              );
              const excluded = new Set(each.excluded.map(id));
              const request = { excluded, prefixes, promptTokens };
              const chosen = chooser.choose(
                request,
                now,
                name => !each.closed.some(index => id(index) === name),
              );
              expect(good.map(id)).toEqual(
                good.length === 0 ? [] : expect.arrayContaining([chosen?.replica]),
              );
              expect(chosen === undefined).toBe(good.length === 0);
              break;
            }
            case 'send':
              chooser.noteDispatch(id(each.replica), chainOf(each.program, each.turns), now);
              sent[each.replica]!++;
              for (const { digest } of chainOf(each.program, each.turns)) {
                remember(held, each.replica, digest);
              }
              break;
            case 'evict': {
              const digest = `${each.program}/${each.turn}` as PrefixDigest;
              chooser.observeCacheChange({ change: 'evicted', digest, replica: id(each.replica) });
              held[each.replica]!.delete(digest);
              break;
            }
            case 'report':
              chooser.observeLoad(id(each.replica), {
                measuredAt: now,
                running: each.calls,
                waiting: 0,
              });
              others[each.replica] = Math.max(0, each.calls - sent[each.replica]!);
              break;
          }
        }
      }),
      { numRuns: 300, seed: SEED },
    );
  });
});

const MOST_HOLDERS = 4;
const recency = new WeakMap<Set<string>[], Map<string, number[]>>();

/** Keeps a prefix at the four replicas that got it last, as the record promises. */
function remember(held: Set<string>[], replica: number, digest: string): void {
  const byDigest = recency.get(held) ?? new Map<string, number[]>();
  recency.set(held, byDigest);
  const known = (byDigest.get(digest) ?? []).filter(
    index => index !== replica && held[index]!.has(digest),
  );
  known.push(replica);
  held[replica]!.add(digest);
  if (known.length > MOST_HOLDERS) {
    held[known.shift()!]!.delete(digest);
  }
  byDigest.set(digest, known);
}
