/** Size of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly share: number;
  /** Retries per second that are allowed without traffic, over all instances. */
  readonly reservePerSecond: number;
  /** Instances that share the reserve. */
  readonly instances: number;
  /** Retries that can be saved up. */
  readonly maxSaved: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Bounds retries to a share of first attempts. The share holds for the fleet when it holds on each
 * instance, so the instances need not talk.
 *
 * @example
 * budget.noteFirstAttempt();
 * if (budget.tryRetry(timers.now())) {
 *   // send again
 * }
 */
export class RetryBudget {
  private saved = 0;
  /** @param lastRefillAt time from which the reserve counts; the first retry by default */
  public constructor(
    private readonly options: RetryBudgetOptions,
    private lastRefillAt?: number,
  ) {}

  /** Retries that are left, before the reserve of the time since the last one. */
  public get available(): number {
    return this.saved;
  }

  /** Counts a first attempt. */
  public noteFirstAttempt(): void {
    this.saved = Math.min(this.options.maxSaved, this.saved + this.options.share);
  }

  /** Takes one retry out of the budget, if there is one. */
  public tryRetry(now: number): boolean {
    this.refill(now);
    if (this.saved < 1) {
      return false;
    }
    this.saved--;
    return true;
  }

  private refill(now: number): void {
    const elapsed = Math.max(0, now - (this.lastRefillAt ?? now));
    this.lastRefillAt = now;
    const { instances, maxSaved, reservePerSecond } = this.options;
    const ownReserve = reservePerSecond / Math.max(1, instances);
    this.saved = Math.min(maxSaved, this.saved + (elapsed / MILLISECONDS_PER_SECOND) * ownReserve);
  }
}
