import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** Random numbers from 0 to 1, the same for the same seed. */
export function makeRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, 2 ** 30, generator) / 2 ** 30;
}
