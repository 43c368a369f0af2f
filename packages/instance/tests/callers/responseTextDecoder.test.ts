import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { ResponseTextDecoder } from '../../src/callers/responseTextDecoder.js';

/** Arbitrary bytes and well-formed UTF-8 text. */
const responses = fc.oneof(
  fc.uint8Array({ maxLength: 40 }),
  fc.string({ maxLength: 30, unit: 'binary' }).map(text => new Uint8Array(Buffer.from(text))),
);

describe(ResponseTextDecoder, () => {
  it('decodes the complete text regardless of where the bytes are split', () => {
    fc.assert(
      fc.property(responses, fc.array(fc.nat(40), { maxLength: 12 }), (bytes, cuts) => {
        const decoder = new ResponseTextDecoder();
        const boundaries = [0, ...cuts.filter(cut => cut < bytes.length), bytes.length].sort(
          (left, right) => left - right,
        );
        const decoded = boundaries
          .slice(1)
          .map((end, index) =>
            decoder.decode(boundaries[index]!, bytes.subarray(boundaries[index], end)),
          );
        const chunks = [...decoded, decoder.finish()].filter(chunk => chunk !== undefined);
        expect(chunks.map(chunk => chunk.text).join('')).toBe(Buffer.from(bytes).toString('utf8'));
        for (const chunk of chunks) {
          const before = Buffer.from(bytes.subarray(0, chunk.offset)).toString('utf8');
          expect(Buffer.from(bytes).toString('utf8').startsWith(before)).toBe(true);
        }
      }),
      { numRuns: 2_000, seed: 41 },
    );
  });
});
