/** Rate and burst of a bucket. */
export interface BucketSize {
  /** Tokens a second. */
  readonly rate: number;
  /** Most tokens that the bucket holds. */
  readonly burst: number;
}

/**
 * A token bucket on monotonic time. It begins empty unless told otherwise.
 *
 * @example
 * const bucket = new TokenBucket({ rate: 10, burst: 20 }, now);
 * bucket.take(now, 1);
 */
export class TokenBucket {
  private tokens = 0;

  public constructor(
    private size: BucketSize,
    private updatedAt: number,
  ) {}

  /** Tokens that can be taken at a time, in milliseconds of monotonic time. */
  public available(now: number): number {
    const elapsedSeconds = Math.max(0, now - this.updatedAt) / 1_000;
    this.tokens = Math.min(this.size.burst, this.tokens + elapsedSeconds * this.size.rate);
    this.updatedAt = Math.max(this.updatedAt, now);
    return this.tokens;
  }

  /** Takes tokens if there are enough. */
  public take(now: number, amount: number): boolean {
    if (this.available(now) < amount) {
      return false;
    }
    this.tokens -= amount;
    return true;
  }

  /** Changes rate and burst; what is above the new burst is lost. */
  public resize(now: number, size: BucketSize): void {
    this.available(now);
    this.size = size;
    this.tokens = Math.min(this.tokens, size.burst);
  }
}
