import { describe, expect, it } from 'vitest';

import { deriveListenerLimits } from '../../src/listeners/listenerLimits.js';

describe(deriveListenerLimits, () => {
  it.each([
    [
      { descriptors: 8_200, memoryBytes: 210_000_000 },
      { callers: 3_204, metrics: 16, peers: 1_600, readiness: 64 },
      1_602,
    ],
    [
      { descriptors: 4_100, memoryBytes: 178_000_000 },
      { callers: 1_950, metrics: 16, peers: 780, readiness: 64 },
      1_358,
    ],
    [
      { descriptors: 400, memoryBytes: 210_000_000 },
      { callers: 100, metrics: 16, peers: 40, readiness: 16 },
      1_602,
    ],
    [{}, { callers: 16_384, metrics: 16, peers: 4_096, readiness: 64 }, 4_096],
  ])('derives the bounds of an instance with %o', (machine, connections, callerRequests) => {
    expect(deriveListenerLimits(machine)).toEqual({ callerRequests, connections });
  });

  it.each([250, 400, 4_100, 8_200])(
    'leaves some of %i descriptors to replicas and store',
    count => {
      const { connections } = deriveListenerLimits({ descriptors: count });
      const { callers, metrics, peers, readiness } = connections;
      const sum = callers + metrics + peers + readiness;
      expect(sum).toBeLessThan(Math.max(count - 200, 100));
    },
  );
});
