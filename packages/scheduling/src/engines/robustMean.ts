import type { SampleOptions } from './costOptions.js';

/** Samples as which the earlier ones count at most, so that the mean always follows. */
const MAXIMUM_WEIGHT = 20;

/**
 * Mean of positive samples in log space. A sample far from the mean counts as one at the clip ratio, so
 * one slow answer moves it little; samples lose weight with age, and the estimate returns to the
 * fallback as they do.
 *
 * @example
 * const mean = new RobustMean(350, options);
 * mean.record(180, now);
 * mean.estimate(now); // between 180 and 350
 */
export class RobustMean {
  private readonly logFallback: number;
  private readonly logClip: number;
  private logMean: number;
  private weight = 0;
  private recordedAt = -Infinity;

  public constructor(
    private readonly fallback: number,
    private readonly options: SampleOptions,
  ) {
    this.logFallback = Math.log(fallback);
    this.logClip = Math.log(options.clipRatio);
    this.logMean = this.logFallback;
  }

  /** Time of the last sample, on the monotonic clock, in milliseconds. */
  public get lastRecordedAt(): number {
    return this.recordedAt;
  }

  /** Takes in a sample. */
  public record(sample: number, now: number): void {
    const weight = this.weightAt(now);
    const difference = Math.log(Math.max(sample, Number.MIN_VALUE)) - this.logMean;
    const clipped = Math.min(this.logClip, Math.max(-this.logClip, difference));
    this.weight = Math.min(MAXIMUM_WEIGHT, weight + 1);
    const counted = clipped > 0 ? clipped * this.options.raiseShare : clipped;
    this.logMean += counted / this.weight;
    this.recordedAt = Math.max(this.recordedAt, now);
  }

  /** Number of samples, less what they lost with age; 0 from the maximum age. */
  public weightAt(now: number): number {
    const age = now - this.recordedAt;
    return age >= this.options.maximumAgeMilliseconds
      ? 0
      : this.weight * 2 ** (-Math.max(0, age) / this.options.halfLifeMilliseconds);
  }

  /** Mean of the samples, drawn to the fallback as far as they are few or old. */
  public estimate(now: number): number {
    const weight = this.weightAt(now);
    const share = weight / (weight + this.options.fallbackSamples);
    return this.fallback * Math.exp(share * (this.logMean - this.logFallback));
  }

  /** Mean of the samples alone, or `undefined` if their weight is below the least. */
  public mean(now: number, minimumWeight: number): number | undefined {
    return this.weightAt(now) < minimumWeight ? undefined : Math.exp(this.logMean);
  }
}
