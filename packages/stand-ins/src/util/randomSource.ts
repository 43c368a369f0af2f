import type { RandomGenerator } from 'pure-rand';

import { xoroshiro128plus } from 'pure-rand';

const INTEGER_RANGE = 0x1_0000_0000;

/**
 * Seeded pseudo-random number generator; the same seed gives the same sequence.
 *
 * @example
 * const random = new RandomSource(42);
 * random.uniform(); // at least 0, less than 1
 */
export class RandomSource {
  private readonly generator: RandomGenerator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a uniformly distributed number of at least 0 and less than 1. */
  public uniform(): number {
    return (this.generator.unsafeNext() >>> 0) / INTEGER_RANGE;
  }

  /** Returns a uniformly distributed integer of at least 0 and less than the limit. */
  public below(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }

  /** Returns one of the values, each with the same probability. */
  public pick<Value>(values: readonly Value[]): Value {
    const value = values[this.below(values.length)];
    if (value === undefined) {
      throw new RangeError('cannot pick from an empty list');
    }
    return value;
  }

  /** Returns an exponentially distributed number with the given mean. */
  public exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /**
   * Returns a log-normally distributed number, given its median and the standard deviation of its
   * logarithm.
   */
  public logNormal(median: number, deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return median * Math.exp(deviation * normal);
  }

  /** Returns a number with a bounded Pareto distribution, given its shape parameter and bounds. */
  public boundedPareto(exponent: number, low: number, high: number): number {
    const ratio = (low / high) ** exponent;
    return low / (1 - this.uniform() * (1 - ratio)) ** (1 / exponent);
  }
}
