/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Number of retries that each first attempt adds to the budget; usually a fraction. */
  readonly share: number;
  /**
   * Number of retries per second, over all instances, that are allowed independently of the
   * traffic.
   */
  readonly reservePerSecond: number;
  /** Number of instances that share the reserve. */
  readonly instances: number;
  /** Maximum number of unused retries that the budget keeps. */
  readonly maximumSaved: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Limits retries to a share of the first attempts, plus a small reserve. If every instance keeps to
 * the share, the fleet does too, so the instances need no coordination.
 *
 * @example
 * budget.recordFirstAttempt();
 * if (budget.tryAcquireRetry(timers.now())) {
 *   // send again
 * }
 */
export class RetryBudget {
  private saved = 0;
  /**
   * @param lastRefillAt monotonic time from which the reserve accrues; the time of the first retry
   * by default
   */
  public constructor(
    private readonly options: RetryBudgetOptions,
    private lastRefillAt?: number,
  ) {}

  /**
   * Number of retries left, without the reserve that has accrued since the last call of
   * {@link tryAcquireRetry}.
   */
  public get available(): number {
    return this.saved;
  }

  /** Records a first attempt. */
  public recordFirstAttempt(): void {
    this.saved = Math.min(this.options.maximumSaved, this.saved + this.options.share);
  }

  /** Acquires one retry from the budget; returns whether one was available. */
  public tryAcquireRetry(now: number): boolean {
    this.refill(now);
    if (this.saved < 1) {
      return false;
    }
    this.saved--;
    return true;
  }

  private refill(now: number): void {
    const elapsedMilliseconds = Math.max(0, now - (this.lastRefillAt ?? now));
    this.lastRefillAt = now;
    const { instances, maximumSaved, reservePerSecond } = this.options;
    const instanceReservePerSecond = reservePerSecond / Math.max(1, instances);
    this.saved = Math.min(
      maximumSaved,
      this.saved + (elapsedMilliseconds / MILLISECONDS_PER_SECOND) * instanceReservePerSecond,
    );
  }
}
