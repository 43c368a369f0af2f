/** Time after which a request has lost most of its weight, in milliseconds. */
const MEMORY_MILLISECONDS = 2_000;

/** Estimates the rate of requests, newer ones weighing more. */
export class DemandMeter {
  private weight = 0;
  private updatedAt = Number.NEGATIVE_INFINITY;

  /** Notes requests. */
  public note(now: number, count = 1): void {
    this.decay(now);
    this.weight += count;
  }

  /** Requests a second. */
  public rate(now: number): number {
    this.decay(now);
    return (this.weight / MEMORY_MILLISECONDS) * 1_000;
  }

  private decay(now: number): void {
    const elapsed = now - this.updatedAt;
    this.weight =
      elapsed > 0 ? this.weight * Math.exp(-elapsed / MEMORY_MILLISECONDS) : this.weight;
    this.updatedAt = now;
  }
}
