/** Time after which the weight of a request has fallen to 1/e, in milliseconds. */
const DECAY_TIME_CONSTANT_MILLISECONDS = 2_000;

/** Estimates the current rate of requests by a count that decays exponentially. */
export class RequestRateMeter {
  private decayedCount = 0;
  private updatedAt = Number.NEGATIVE_INFINITY;

  /** Records requests at a monotonic time in milliseconds. */
  public record(now: number, count = 1): void {
    this.decay(now);
    this.decayedCount += count;
  }

  /** Returns the estimated rate at a monotonic time in milliseconds. */
  public requestsPerSecond(now: number): number {
    this.decay(now);
    return (this.decayedCount / DECAY_TIME_CONSTANT_MILLISECONDS) * 1_000;
  }

  private decay(now: number): void {
    const elapsedMilliseconds = now - this.updatedAt;
    this.decayedCount =
      elapsedMilliseconds > 0
        ? this.decayedCount * Math.exp(-elapsedMilliseconds / DECAY_TIME_CONSTANT_MILLISECONDS)
        : this.decayedCount;
    this.updatedAt = now;
  }
}
