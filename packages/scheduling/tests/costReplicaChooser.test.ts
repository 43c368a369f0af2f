import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { PrefixDigest, PromptPrefix } from '@zincring/scheduling';

import { CostReplicaChooser } from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

const zone = 'nelson' as AvailabilityZone;
const id = (index: number): UpstreamId => `replica-${index}` as UpstreamId;
const chain = (...tokens: readonly number[]): readonly PromptPrefix[] =>
  tokens.map(count => ({ digest: `prefix-${count}` as PrefixDigest, tokens: count }));

function chooserOf(count: number, maxPrefixes = 100) {
  const chooser = new CostReplicaChooser({
    batchDelayMillisecondsPerToken: 0.01,
    callMilliseconds: 4_000,
    maxPrefixes,
    prefillMillisecondsPerToken: 0.1,
    random: () => 0.99,
    sharingMilliseconds: 10,
    slotsPerReplica: 4,
    zone,
    zoneMilliseconds: 2,
  });
  chooser.update(Array.from({ length: count }, (_, index) => ({ id: id(index), zone })));
  return chooser;
}

const request = { excluded: new Set<UpstreamId>(), prefixes: chain(10_000), promptTokens: 11_000 };
const open = (): boolean => true;

describe('CostReplicaChooser', () => {
  test.each([5, 500])('of %i replicas it takes the one that holds the prefix', count => {
    const chooser = chooserOf(count);
    chooser.noteDispatch(id(3), chain(10_000), 0);
    expect(chooser.choose(request, 0, open)).toMatchObject({
      expectedCachedTokens: 10_000,
      replica: id(3),
    });
  });

  test('waits for a short while rather than computing a long prefix again', () => {
    const chooser = chooserOf(5);
    chooser.noteDispatch(id(3), chain(100_000), 0);
    const long = { ...request, prefixes: chain(100_000), promptTokens: 101_000 };
    expect(chooser.choose(long, 0, replica => replica !== id(3))).toBeUndefined();
    const short = { ...request, prefixes: chain(100), promptTokens: 200 };
    expect(chooser.choose(short, 0, replica => replica !== id(3))).toBeDefined();
  });

  test('leaves a holder whose queue costs more than computing again', () => {
    const chooser = chooserOf(5);
    chooser.noteDispatch(id(3), chain(10_000), 0);
    chooser.observeLoad(id(3), { measuredAt: -1, running: 4, waiting: 8 });
    expect(chooser.choose(request, 0, open)?.replica).not.toBe(id(3));
  });

  test('never takes replicas that were tried, are suspect or have gone', () => {
    const chooser = chooserOf(3);
    chooser.suspectUntil(id(1), 1_000);
    const excluded = new Set([id(0)]);
    expect(chooser.choose({ ...request, excluded }, 0, open)?.replica).toBe(id(2));
    chooser.update([{ id: id(0), zone }]);
    expect(chooser.choose({ ...request, excluded }, 0, open)).toBeUndefined();
  });

  test('forgets a prefix after an eviction, a failure, or a restart of the replica', () => {
    const chooser = chooserOf(3);
    const expected = (): number | undefined => {
      const excluded = new Set([id(0), id(1)]);
      return chooser.choose({ ...request, excluded }, 0, open)?.expectedCachedTokens;
    };
    chooser.noteDispatch(id(2), chain(10_000), 0);
    expect(expected()).toBe(10_000);
    chooser.observeCacheChange({
      change: 'evicted',
      digest: chain(10_000)[0]!.digest,
      replica: id(2),
    });
    expect(expected()).toBe(0);
    chooser.noteDispatch(id(2), chain(10_000), 0);
    const outcome = { durationMilliseconds: 10, prefixes: chain(10_000), replica: id(2) };
    chooser.noteOutcome({ ...outcome, end: 'failed' }, 0);
    expect(expected()).toBe(0);
    chooser.noteDispatch(id(2), chain(10_000), 0);
    chooser.update([]);
    chooser.update([{ id: id(2), zone }]);
    expect(expected()).toBe(0);
  });

  test('own work sent after a lagging report counts', () => {
    const chooser = chooserOf(2);
    for (let sent = 0; sent < 3; sent++) {
      chooser.noteDispatch(id(0), [], 100);
    }
    chooser.observeLoad(id(0), { measuredAt: 50, running: 0, waiting: 0 });
    expect(chooser.choose({ ...request, prefixes: [] }, 200, open)?.replica).toBe(id(1));
  });

  test('remembers a bounded number of prefixes', () => {
    const chooser = chooserOf(3, 10);
    for (let tokens = 1; tokens < 100; tokens++) {
      chooser.noteDispatch(id(0), chain(tokens), 0);
    }
    expect(chooser.rememberedPrefixes).toBe(10);
  });
});
