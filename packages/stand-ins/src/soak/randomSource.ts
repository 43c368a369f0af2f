import type { RandomGenerator } from 'pure-rand';

import { xoroshiro128plus } from 'pure-rand';

const INTEGER_RANGE = 0x1_0000_0000;

/** Random numbers that a seed repeats. */
export class RandomSource {
  private readonly generator: RandomGenerator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number from 0 up to a limit, which is left out. */
  public below(limit: number): number {
    return Math.floor(((this.generator.unsafeNext() >>> 0) / INTEGER_RANGE) * limit);
  }

  /** One of several values. */
  public pick<Value>(values: readonly Value[]): Value {
    const value = values[this.below(values.length)];
    if (value === undefined) {
      throw new Error('there is nothing to pick from');
    }
    return value;
  }
}
