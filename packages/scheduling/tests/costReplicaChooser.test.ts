import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { PrefixDigest, PromptPrefix } from '@zincring/scheduling';

import { CostReplicaChooser } from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

const zone = 'nelson' as AvailabilityZone;
const replicaId = (index: number): UpstreamId => `replica-${index}` as UpstreamId;
const chain = (...tokens: readonly number[]): readonly PromptPrefix[] =>
  tokens.map(count => ({ digest: `prefix-${count}` as PrefixDigest, tokens: count }));

function createChooser(count: number, maximumPrefixes = 100) {
  const chooser = new CostReplicaChooser({
    batchDelayMillisecondsPerToken: 0.01,
    callMilliseconds: 4_000,
    maximumPrefixes,
    prefillMillisecondsPerToken: 0.1,
    random: () => 0.99,
    sharingMilliseconds: 10,
    slotsPerReplica: 4,
    zone,
    zoneMilliseconds: 2,
  });
  chooser.update(Array.from({ length: count }, (_, index) => ({ id: replicaId(index), zone })));
  return chooser;
}

const request = { excluded: new Set<UpstreamId>(), prefixes: chain(10_000), promptTokens: 11_000 };
const hasCapacity = (): boolean => true;

describe('CostReplicaChooser', () => {
  test.each([5, 500])('among %i replicas, chooses the one that holds the prefix', count => {
    const chooser = createChooser(count);
    chooser.recordDispatch(replicaId(3), chain(10_000), 0);
    expect(chooser.choose(request, 0, hasCapacity)).toMatchObject({
      expectedCachedTokens: 10_000,
      replica: replicaId(3),
    });
  });

  test('waits for the holder of a long prefix but computes a short prefix again elsewhere', () => {
    const chooser = createChooser(5);
    chooser.recordDispatch(replicaId(3), chain(100_000), 0);
    const long = { ...request, prefixes: chain(100_000), promptTokens: 101_000 };
    expect(chooser.choose(long, 0, replica => replica !== replicaId(3))).toBeUndefined();
    const short = { ...request, prefixes: chain(100), promptTokens: 200 };
    expect(chooser.choose(short, 0, replica => replica !== replicaId(3))).toBeDefined();
  });

  test('avoids the holder of a prefix if its queue costs more than computing the prefix again', () => {
    const chooser = createChooser(5);
    chooser.recordDispatch(replicaId(3), chain(10_000), 0);
    chooser.observeLoad(replicaId(3), { measuredAt: -1, running: 4, waiting: 8 });
    expect(chooser.choose(request, 0, hasCapacity)?.replica).not.toBe(replicaId(3));
  });

  test('never chooses replicas that were already tried, are suspect or were removed', () => {
    const chooser = createChooser(3);
    chooser.suspectUntil(replicaId(1), 1_000);
    const excluded = new Set([replicaId(0)]);
    expect(chooser.choose({ ...request, excluded }, 0, hasCapacity)?.replica).toBe(replicaId(2));
    chooser.update([{ id: replicaId(0), zone }]);
    expect(chooser.choose({ ...request, excluded }, 0, hasCapacity)).toBeUndefined();
  });

  test('drops a prefix after an eviction, a failure, or a restart of the replica', () => {
    const chooser = createChooser(3);
    const expectedCachedTokens = (): number | undefined => {
      const excluded = new Set([replicaId(0), replicaId(1)]);
      return chooser.choose({ ...request, excluded }, 0, hasCapacity)?.expectedCachedTokens;
    };
    chooser.recordDispatch(replicaId(2), chain(10_000), 0);
    expect(expectedCachedTokens()).toBe(10_000);
    chooser.observeCacheChange({
      change: 'evicted',
      digest: chain(10_000)[0]!.digest,
      replica: replicaId(2),
    });
    expect(expectedCachedTokens()).toBe(0);
    chooser.recordDispatch(replicaId(2), chain(10_000), 0);
    const outcome = { durationMilliseconds: 10, prefixes: chain(10_000), replica: replicaId(2) };
    chooser.recordOutcome({ ...outcome, end: 'failed' }, 0);
    expect(expectedCachedTokens()).toBe(0);
    chooser.recordDispatch(replicaId(2), chain(10_000), 0);
    chooser.update([]);
    chooser.update([{ id: replicaId(2), zone }]);
    expect(expectedCachedTokens()).toBe(0);
  });

  test('counts calls of this instance that were sent after the time of a lagging report', () => {
    const chooser = createChooser(2);
    for (let sent = 0; sent < 3; sent++) {
      chooser.recordDispatch(replicaId(0), [], 100);
    }
    chooser.observeLoad(replicaId(0), { measuredAt: 50, running: 0, waiting: 0 });
    expect(chooser.choose({ ...request, prefixes: [] }, 200, hasCapacity)?.replica).toBe(
      replicaId(1),
    );
  });

  test('keeps a bounded number of prefixes', () => {
    const chooser = createChooser(3, 10);
    for (let tokens = 1; tokens < 100; tokens++) {
      chooser.recordDispatch(replicaId(0), chain(tokens), 0);
    }
    expect(chooser.prefixCount).toBe(10);
  });
});
