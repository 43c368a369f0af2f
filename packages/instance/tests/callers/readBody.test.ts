import { ZincringError } from '@zincring/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { isDeeperThan, parseJson } from '../../src/callers/readBody.js';

function depthOf(value: unknown): number {
  if (typeof value !== 'object' || value === null) {
    return 0;
  }
  return 1 + Math.max(0, ...Object.values(value).map(depthOf));
}

describe(isDeeperThan, () => {
  it('agrees with the depth of the parsed value', () => {
    fc.assert(
      fc.property(fc.json({ maxDepth: 6 }), fc.nat(6), (text, limit) => {
        const depth = depthOf(JSON.parse(text));
        expect(isDeeperThan(Buffer.from(text), limit)).toBe(depth > limit);
      }),
      { numRuns: 1_000, seed: 43 },
    );
  });
});

describe(parseJson, () => {
  it.each([
    ['[[[]]]', 2, 'body-too-deep'],
    ['['.repeat(1_000_000), 64, 'body-too-deep'],
    ['{"a":', 64, 'bad-request'],
    ['', 64, 'bad-request'],
    ['"[[["', 1, undefined],
    [String.raw`"\"[["`, 1, undefined],
  ])('gives the expected error kind for %.20s', (text, limit, kind) => {
    let failure: unknown;
    try {
      parseJson(Buffer.from(text), limit);
    } catch (thrown) {
      failure = thrown;
    }
    expect(failure instanceof ZincringError ? failure.kind : failure).toBe(kind);
  });
});
