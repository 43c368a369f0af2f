import type { WorkspaceName } from '@zincring/core';

/** A program that came to its end, or was cut off by the end of the run. */
export interface ProgramOutcome {
  readonly program: string;
  readonly workspace: WorkspaceName;
  readonly arrivedAt: number;
  readonly latencyMilliseconds: number;
  readonly isFinished: boolean;
}

/** Values that were seen, and how often. */
export class Sample {
  private readonly values: number[] = [];
  private readonly weights: number[] = [];
  private totalWeight = 0;

  /** Adds a value. */
  public add(value: number, weight = 1): void {
    this.values.push(value);
    this.weights.push(weight);
    this.totalWeight += weight;
  }

  /** Value below which a share of the sample lies; 0 for an empty sample. */
  public quantile(share: number): number {
    const order = this.values.map((_, index) => index);
    order.sort((left, right) => (this.values[left] ?? 0) - (this.values[right] ?? 0));
    let seen = 0;
    for (const index of order) {
      seen += this.weights[index] ?? 0;
      if (seen >= share * this.totalWeight) {
        return this.values[index] ?? 0;
      }
    }
    return 0;
  }
}

/** What one run is measured by; waits and refusals of workspaces within their rate alone. */
export class Measurements {
  public readonly programs: ProgramOutcome[] = [];
  public readonly queueWait = new Sample();
  public readonly firstToken = new Sample();
  /** Counted in steps of whole milliseconds. */
  public readonly betweenTokens = new Map<number, number>();
  /** Prompt tokens of the calls that ended well. */
  public promptTokens = 0;
  /** Prompt tokens that engines computed, for calls that failed too. */
  public computedTokens = 0;
  /** Prompt tokens that one endless cache with perfect knowledge would have computed. */
  public idealTokens = 0;
  public retries = 0;
  public refusals = 0;

  /** @param isWithinRate tells whether the service of a workspace is measured */
  public constructor(public readonly isWithinRate: (workspace: WorkspaceName) => boolean) {}

  /** Counts tokens that came a time after the ones before. */
  public addTokens(count: number, milliseconds: number): void {
    const rounded = Math.round(milliseconds);
    this.betweenTokens.set(rounded, (this.betweenTokens.get(rounded) ?? 0) + count);
  }

  /** Time between tokens that a share of them keeps, in milliseconds. */
  public betweenTokensQuantile(share: number): number {
    const sample = new Sample();
    for (const [milliseconds, count] of this.betweenTokens) {
      sample.add(milliseconds, count);
    }
    return sample.quantile(share);
  }
}
