import { RandomSource } from '@zincring/stand-ins';
import createXxhash from 'xxhash-wasm';
import { describe, expect, it } from 'vitest';

import { hash32 } from '@zincring/core';

const SEED = 20_261_204;
const RANDOM_TEXTS = 2_000;
const MAXIMUM_LENGTH = 90;

describe(hash32, () => {
  // Instances of different builds must place the same keys at the same owners.
  it.each([
    ['', 0x02cc5d05],
    ['abc', 0x32d153ff],
  ])('hashes %j as the specification says', (text, expected) => {
    expect(hash32(text)).toBe(expected);
  });

  it('agrees with another implementation on texts of all lengths, with and without other characters than ASCII', async () => {
    const xxhash = await createXxhash();
    const random = new RandomSource(SEED);
    for (let index = 0; index < RANDOM_TEXTS; index++) {
      const characters = index % 2 === 0 ? ['a', 'b', '/', '0', '-', '\n'] : ['a', 'é', '語', '🙂'];
      const text = Array.from({ length: index % MAXIMUM_LENGTH }, () =>
        random.pick(characters),
      ).join('');
      expect(hash32(text), text).toBe(xxhash.h32(text));
    }
  });
});
