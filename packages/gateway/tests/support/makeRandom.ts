import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** Makes a generator of random numbers from 0 to 1; equal seeds give equal sequences. */
export function makeRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, 2 ** 30, generator) / 2 ** 30;
}
