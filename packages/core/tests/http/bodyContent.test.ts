import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { BodyContent } from '../../src/http/bodyContent.js';

const sizes = fc.array(
  fc.oneof(fc.integer({ max: 9, min: 1 }), fc.integer({ max: 100_000, min: 1 })),
  { maxLength: 12 },
);

describe(BodyContent, () => {
  // Guards against bytes of one body in another: the buffers of bodies that were given up are used again.
  it('is what was appended, while others are read and given up in turn', () => {
    fc.assert(
      fc.property(fc.array(sizes, { maxLength: 4, minLength: 1 }), bodies => {
        const contents = bodies.map(() => new BodyContent());
        const longest = Math.max(...bodies.map(({ length }) => length));
        const expected = bodies.map((): Buffer[] => []);
        for (let round = 0; round < longest; round++) {
          const givenUp = new BodyContent();
          Array.from({ length: 3 }).forEach(() => {
            givenUp.append(Buffer.alloc(70_000, 'z'));
          });
          givenUp.clear();
          bodies.forEach((pieces, index) => {
            const piece = Buffer.alloc(pieces[round] ?? 0, `${String(index)}${String(round)}`);
            if (piece.length > 0) {
              expected[index]?.push(Buffer.from(piece));
              contents[index]?.append(piece);
            }
          });
        }
        contents.forEach((content, index) => {
          expect(content.complete().equals(Buffer.concat(expected[index] ?? []))).toBe(true);
        });
      }),
      { numRuns: 60 },
    );
  });
});
