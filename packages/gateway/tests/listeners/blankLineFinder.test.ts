import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { BlankLineFinder } from '../../src/listeners/blankLineFinder.js';

const text = fc
  .array(fc.constantFrom('\r', '\n', '\r\n', 'a', '0\r\n', 'Host: x\r\n'), { maxLength: 30 })
  .map(parts => parts.join(''));

/** Ends of all blank lines, each found from the end of the one before. */
function findEnds(whole: string): readonly number[] {
  const ends: number[] = [];
  for (let start = 0; ; start = ends.at(-1) ?? 0) {
    const found = /\n\r?\n/.exec(whole.slice(start));
    if (found === null) {
      return ends;
    }
    ends.push(start + found.index + found[0].length);
  }
}

describe(BlankLineFinder, () => {
  // Guards against bytes past the end of a message that reach the parser, wherever the network splits them.
  it('finds each blank line, however the bytes are divided', () => {
    fc.assert(
      fc.property(text, fc.array(fc.integer({ max: 9, min: 1 })), (whole, sizes) => {
        const finder = new BlankLineFinder();
        const bytes = Buffer.from(whole);
        const blankLineEnds: number[] = [];
        let position = 0;
        for (const size of [...sizes, ...Array.from({ length: bytes.length }, () => 7)]) {
          const piece = bytes.subarray(position, position + size);
          if (piece.length === 0) {
            break;
          }
          position += finder.advance(piece, 64);
          if (findEnds(whole).includes(position)) {
            blankLineEnds.push(position);
          }
        }
        // Nothing that was handed out at a time goes past the end of a blank line.
        expect(blankLineEnds).toEqual(findEnds(whole));
      }),
      { numRuns: 2_000 },
    );
  });

  it.each([
    ['GET / HTTP/1.1\r\n\r\nGET /', 64, 18],
    ['GET / HTTP/1.1\r\n\r\nGET /', 5, 5],
    ['1\r\nx\r\n0\r\n\r\nGET /', 64, 11],
    ['no end', 64, 6],
  ])('hands out of %j no more than %i bytes: %i', (whole, maximum, end) => {
    expect(new BlankLineFinder().advance(Buffer.from(whole), maximum)).toBe(end);
  });
});
