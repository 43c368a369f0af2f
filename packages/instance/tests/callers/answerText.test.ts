import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { AnswerText } from '../../src/callers/answerText.js';

/** Any bytes and well-formed text, cut into frames anywhere. */
const answers = fc.oneof(
  fc.uint8Array({ maxLength: 40 }),
  fc.string({ maxLength: 30, unit: 'binary' }).map(text => new Uint8Array(Buffer.from(text))),
);

describe(AnswerText, () => {
  it('gives the text of the whole answer however it is cut', () => {
    fc.assert(
      fc.property(answers, fc.array(fc.nat(40), { maxLength: 12 }), (bytes, cuts) => {
        const text = new AnswerText();
        const places = [0, ...cuts.filter(cut => cut < bytes.length), bytes.length].sort(
          (left, right) => left - right,
        );
        const parts = places
          .slice(1)
          .map((end, index) => text.append(places[index]!, bytes.subarray(places[index], end)));
        const shown = [...parts, text.finish()].filter(part => part !== undefined);
        expect(shown.map(part => part.text).join('')).toBe(Buffer.from(bytes).toString('utf8'));
        for (const part of shown) {
          const before = Buffer.from(bytes.subarray(0, part.offset)).toString('utf8');
          expect(Buffer.from(bytes).toString('utf8').startsWith(before)).toBe(true);
        }
      }),
      { numRuns: 2_000, seed: 41 },
    );
  });
});
