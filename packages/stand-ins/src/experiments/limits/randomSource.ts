import { xoroshiro128plus } from 'pure-rand';

const MANTISSA = 2 ** 32;

/** Random numbers that a seed repeats. */
export class RandomSource {
  private readonly generator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 to less than 1. */
  public next(): number {
    return (this.generator.unsafeNext() >>> 0) / MANTISSA;
  }

  /** A whole number from 0 to less than a bound. */
  public below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** The time to the next event of a Poisson process, in milliseconds. */
  public interval(eventsPerSecond: number): number {
    return (-Math.log(1 - this.next()) / eventsPerSecond) * 1_000;
  }

  /** One of several values. */
  public pick<Value>(values: readonly Value[]): Value {
    const value = values[this.below(values.length)];
    if (value === undefined) {
      throw new RangeError('nothing to pick from');
    }
    return value;
  }
}
