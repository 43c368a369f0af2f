import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import { defaultLearnedCostOptions, ServiceCosts } from '@zincring/scheduling';
import { describe, expect, it } from 'vitest';

import type { PromptPart } from '../../src/callers/requestFacts.js';
import type { PlacementCandidate, PlacementRequest } from '../../src/upstreams/replicaPlacement.js';

import { chooseEngine, choosePlainReplica } from '../../src/upstreams/replicaPlacement.js';
import { sampleReplica } from '../support/samples.js';

function sampleCandidates(
  count: number,
  overrides: Partial<PlacementCandidate> = {},
): PlacementCandidate[] {
  return Array.from({ length: count }, (_unused, index) => ({
    entry: sampleReplica(`r${String(index)}`),
    inFlight: 0,
    isAvoided: false,
    slowness: 1,
    ...overrides,
  }));
}

function sampleRequest(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    affinity: 'session-1',
    availabilityZone: 'nelson' as AvailabilityZone,
    costs: new ServiceCosts(defaultLearnedCostOptions).estimate(0),
    previousReplica: undefined,
    promptParts: [{ id: 'shared' as PromptPart['id'], tokens: 12_600 }],
    ...overrides,
  };
}

describe(chooseEngine, () => {
  it('chooses the same engine on every instance', () => {
    const forward = chooseEngine(sampleCandidates(13), sampleRequest());
    const backward = chooseEngine(sampleCandidates(13).reverse(), sampleRequest());
    expect(forward?.id).toBe(backward?.id);
  });

  it('prefers the engine that ran the previous turn', () => {
    const previousReplica = 'r4' as UpstreamId;
    expect(chooseEngine(sampleCandidates(13), sampleRequest({ previousReplica }))?.id).toBe(
      previousReplica,
    );
  });

  it('chooses another engine when queueing at the previous one costs more than a prefill of the prompt', () => {
    const previousReplica = 'r4' as UpstreamId;
    const busy = sampleCandidates(13).map(candidate =>
      candidate.entry.id === previousReplica ? { ...candidate, inFlight: 13 } : candidate,
    );
    expect(chooseEngine(busy, sampleRequest({ previousReplica }))?.id).not.toBe(previousReplica);
  });

  it('spreads sessions with the same shared prompt over all engines', () => {
    const counts = new Map<string, number>();
    for (let session = 0; session < 1_300; session++) {
      const request = sampleRequest({ affinity: `session-${String(session)}` });
      const id = chooseEngine(sampleCandidates(13), request)?.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.size).toBe(13);
    expect(Math.max(...counts.values())).toBeLessThan(150);
  });

  it('uses a failing engine only when there is no other', () => {
    const failing = sampleCandidates(2, { isAvoided: true });
    expect(chooseEngine(failing, sampleRequest())).toBeDefined();
    const [first, second] = failing;
    const mixed = [first!, { ...second!, isAvoided: false }];
    expect(chooseEngine(mixed, sampleRequest())?.id).toBe('r1');
  });

  it('returns undefined for an empty list', () => {
    expect(chooseEngine([], sampleRequest())).toBeUndefined();
  });
});

describe(choosePlainReplica, () => {
  it('chooses the least busy replica', () => {
    const busy = sampleCandidates(4, { inFlight: 2 });
    busy[2] = { ...busy[2]!, inFlight: 0 };
    const request = sampleRequest({ affinity: undefined, promptParts: [] });
    expect(choosePlainReplica(busy, request, () => 0.5)?.id).toBe('r2');
  });

  it('prefers its own availability zone among equally busy replicas', () => {
    const distant = sampleCandidates(4).map(candidate => ({
      ...candidate,
      entry: { ...candidate.entry, availabilityZone: 'trail' as AvailabilityZone },
    }));
    distant[3] = sampleCandidates(4)[3]!;
    const request = sampleRequest({ affinity: undefined, promptParts: [] });
    expect(choosePlainReplica(distant, request, () => 0.9)?.id).toBe('r3');
  });
});
