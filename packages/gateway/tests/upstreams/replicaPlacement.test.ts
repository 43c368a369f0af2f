import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import type { PromptPart } from '../../src/callers/requestFacts.js';
import type { PlacementCandidate, PlacementRequest } from '../../src/upstreams/replicaPlacement.js';

import { placeAtEngine, placeAtPlainService } from '../../src/upstreams/replicaPlacement.js';
import { sampleReplica } from '../support/samples.js';

function candidates(
  count: number,
  overrides: Partial<PlacementCandidate> = {},
): PlacementCandidate[] {
  return Array.from({ length: count }, (_unused, index) => ({
    entry: sampleReplica(`r${String(index)}`),
    inFlight: 0,
    isAvoided: false,
    ...overrides,
  }));
}

function sampleRequest(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    affinity: 'session-1',
    availabilityZone: 'nelson' as AvailabilityZone,
    home: undefined,
    promptParts: [{ id: 'shared' as PromptPart['id'], tokens: 12_600 }],
    ...overrides,
  };
}

describe(placeAtEngine, () => {
  it('chooses alike on every instance', () => {
    const forward = placeAtEngine(candidates(13), sampleRequest());
    const backward = placeAtEngine(candidates(13).reverse(), sampleRequest());
    expect(forward?.id).toBe(backward?.id);
  });

  it('stays with the engine that ran the last turn', () => {
    const home = 'r4' as UpstreamId;
    expect(placeAtEngine(candidates(13), sampleRequest({ home }))?.id).toBe(home);
  });

  it('leaves the home when its queue costs more than reading the prompt again', () => {
    const home = 'r4' as UpstreamId;
    const busy = candidates(13).map(candidate =>
      candidate.entry.id === home ? { ...candidate, inFlight: 13 } : candidate,
    );
    expect(placeAtEngine(busy, sampleRequest({ home }))?.id).not.toBe(home);
  });

  it('spreads the sessions of one shared prompt over all engines', () => {
    const counts = new Map<string, number>();
    for (let session = 0; session < 1_300; session++) {
      const request = sampleRequest({ affinity: `session-${String(session)}` });
      const id = placeAtEngine(candidates(13), request)?.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.size).toBe(13);
    expect(Math.max(...counts.values())).toBeLessThan(150);
  });

  it('uses an engine that failed only when there is no other', () => {
    const failing = candidates(2, { isAvoided: true });
    expect(placeAtEngine(failing, sampleRequest())).toBeDefined();
    const [first, second] = failing;
    const mixed = [first!, { ...second!, isAvoided: false }];
    expect(placeAtEngine(mixed, sampleRequest())?.id).toBe('r1');
  });

  it('has nothing to choose from an empty list', () => {
    expect(placeAtEngine([], sampleRequest())).toBeUndefined();
  });
});

describe(placeAtPlainService, () => {
  it('chooses the least busy replica', () => {
    const busy = candidates(4, { inFlight: 2 });
    busy[2] = { ...busy[2]!, inFlight: 0 };
    const request = sampleRequest({ affinity: undefined, promptParts: [] });
    expect(placeAtPlainService(busy, request, () => 0.5)?.id).toBe('r2');
  });

  it('prefers its own availability zone among equals', () => {
    const far = candidates(4).map(candidate => ({
      ...candidate,
      entry: { ...candidate.entry, availabilityZone: 'trail' as AvailabilityZone },
    }));
    far[3] = candidates(4)[3]!;
    const request = sampleRequest({ affinity: undefined, promptParts: [] });
    expect(placeAtPlainService(far, request, () => 0.9)?.id).toBe('r3');
  });
});
