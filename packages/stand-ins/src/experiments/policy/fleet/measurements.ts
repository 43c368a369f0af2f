import type { WorkspaceName } from '@zincring/core';

/** Outcome of a program that finished, or that was unfinished at the end of the run. */
export interface ProgramOutcome {
  readonly program: string;
  readonly workspace: WorkspaceName;
  readonly arrivedAt: number;
  readonly latencyMilliseconds: number;
  readonly isFinished: boolean;
}

/** Sample of weighted values. */
export class Sample {
  private readonly values: number[] = [];
  private readonly weights: number[] = [];
  private totalWeight = 0;

  /** Adds a value with a weight. */
  public add(value: number, weight = 1): void {
    this.values.push(value);
    this.weights.push(weight);
    this.totalWeight += weight;
  }

  /** Returns the quantile of the sample at a share from 0 to 1; 0 for an empty sample. */
  public quantile(share: number): number {
    const sortedIndexes = this.values.map((_, index) => index);
    sortedIndexes.sort((left, right) => (this.values[left] ?? 0) - (this.values[right] ?? 0));
    let accumulatedWeight = 0;
    for (const index of sortedIndexes) {
      accumulatedWeight += this.weights[index] ?? 0;
      if (accumulatedWeight >= share * this.totalWeight) {
        return this.values[index] ?? 0;
      }
    }
    return 0;
  }
}

/**
 * Measurements of one run. Waiting times and refusals are recorded only for workspaces within their
 * rate.
 */
export class Measurements {
  public readonly programs: ProgramOutcome[] = [];
  public readonly queueWaitMilliseconds = new Sample();
  public readonly firstTokenMilliseconds = new Sample();
  /** Number of tokens for each time since the previous token, rounded to milliseconds. */
  public readonly interTokenCounts = new Map<number, number>();
  /** Prompt tokens of the calls that succeeded. */
  public promptTokens = 0;
  /** Prompt tokens that engines computed, including those of failed calls. */
  public computedTokens = 0;
  /** Prompt tokens that would have been computed with one unbounded cache for all engines. */
  public idealTokens = 0;
  public retries = 0;
  public refusalsWithinRate = 0;

  /** @param isWithinRate whether a workspace is within its rate, so that its service is measured */
  public constructor(public readonly isWithinRate: (workspace: WorkspaceName) => boolean) {}

  /** Adds a number of tokens that each came a given time after the previous one. */
  public addTokens(count: number, milliseconds: number): void {
    const rounded = Math.round(milliseconds);
    this.interTokenCounts.set(rounded, (this.interTokenCounts.get(rounded) ?? 0) + count);
  }

  /** Returns the quantile of the time between tokens at a share from 0 to 1, in milliseconds. */
  public interTokenMillisecondsQuantile(share: number): number {
    const sample = new Sample();
    for (const [milliseconds, count] of this.interTokenCounts) {
      sample.add(milliseconds, count);
    }
    return sample.quantile(share);
  }
}
