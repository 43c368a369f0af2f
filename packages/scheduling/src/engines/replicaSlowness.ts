import type { LearnedCostOptions } from './costOptions.js';

import { RobustMean } from './robustMean.js';

/** A change of the judgement on a replica. */
export type SlownessVerdict = 'slow' | 'well';

/** Time for which a computed estimate is used again, in milliseconds: many choices are made within it. */
const ESTIMATE_REUSE_MILLISECONDS = 50;
/** Slowness below which replicas count as equal, since samples of equal replicas differ as much. */
const EVEN_RATIO = 1.4;

/**
 * How many times as long as its service one run of a replica takes, from the ratios of what was
 * measured to what the service takes. With little or old evidence it is 1. A new run needs a new
 * estimate.
 *
 * @example
 * const slowness = new ReplicaSlowness(options);
 * slowness.record(2.5, now);
 * slowness.estimate(now); // above 1, far below 2.5 after one sample
 */
export class ReplicaSlowness {
  private readonly mean: RobustMean;
  private isJudgedSlow = false;
  private estimatedAt = -Infinity;
  private current = 1;

  public constructor(private readonly options: LearnedCostOptions) {
    this.mean = new RobustMean(1, options.replica);
  }

  /** Time of the last sample, on the monotonic clock, in milliseconds. */
  public get lastRecordedAt(): number {
    return this.mean.lastRecordedAt;
  }

  /** Number of samples, less what they lost with age. */
  public weightAt(now: number): number {
    return this.mean.weightAt(now);
  }

  /** Takes in the ratio of a measured time to that of the service. */
  public record(ratio: number, now: number): void {
    this.mean.record(ratio, now);
    this.estimatedAt = -Infinity;
  }

  /**
   * Factor on what the service takes; 1 for a replica about as fast as the others, or faster: requests
   * would otherwise all go to the one that was measured first.
   */
  public estimate(now: number): number {
    if (now - this.estimatedAt >= ESTIMATE_REUSE_MILLISECONDS) {
      const estimate = this.mean.estimate(now);
      this.current = estimate < EVEN_RATIO ? 1 : estimate;
      this.estimatedAt = now;
    }
    return this.current;
  }

  /** Judges the replica; `undefined` while the judgement stays. Returning to well needs a lower slowness. */
  public judge(now: number): SlownessVerdict | undefined {
    const estimate = this.estimate(now);
    if (!this.isJudgedSlow && estimate >= this.options.slowFrom) {
      this.isJudgedSlow = true;
      return 'slow';
    }
    if (this.isJudgedSlow && estimate < this.options.wellBelow) {
      this.isJudgedSlow = false;
      return 'well';
    }
    return undefined;
  }

  /** Whether the replica is judged slow. */
  public get isSlow(): boolean {
    return this.isJudgedSlow;
  }
}
