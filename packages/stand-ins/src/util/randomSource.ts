import type { RandomGenerator } from 'pure-rand';

import { xoroshiro128plus } from 'pure-rand';

const INTEGER_RANGE = 0x1_0000_0000;

/**
 * Random numbers that repeat exactly by seed.
 *
 * @example
 * const random = new RandomSource(42);
 * random.uniform(); // from 0 up to 1
 */
export class RandomSource {
  private readonly generator: RandomGenerator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to 1. */
  public uniform(): number {
    return (this.generator.unsafeNext() >>> 0) / INTEGER_RANGE;
  }

  /** A whole number from 0 up to a limit, which is left out. */
  public below(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }

  /** One of several values. */
  public pick<Value>(values: readonly Value[]): Value {
    const value = values[this.below(values.length)];
    if (value === undefined) {
      throw new RangeError('there is nothing to pick from');
    }
    return value;
  }

  /** Exponentially distributed, with a mean. */
  public exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Log-normally distributed, by its median and the deviation of its logarithm. */
  public logNormal(median: number, deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return median * Math.exp(deviation * normal);
  }

  /** Heavy-tailed between two bounds, with the exponent of the tail. */
  public boundedPareto(exponent: number, low: number, high: number): number {
    const ratio = (low / high) ** exponent;
    return low / (1 - this.uniform() * (1 - ratio)) ** (1 / exponent);
  }
}
