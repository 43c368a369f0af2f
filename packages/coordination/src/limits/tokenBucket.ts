/** Rate and burst of a token bucket. */
export interface BucketSize {
  /** Tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens that the bucket holds. */
  readonly burst: number;
}

/**
 * Token bucket that refills by the monotonic clock. It starts empty.
 *
 * @example
 * const bucket = new TokenBucket({ rate: 10, burst: 20 }, now);
 * bucket.tryAcquire(now, 1);
 */
export class TokenBucket {
  private tokens = 0;

  public constructor(
    private size: BucketSize,
    private updatedAt: number,
  ) {}

  /** Returns the tokens available at a monotonic time in milliseconds. */
  public available(now: number): number {
    const elapsedSeconds = Math.max(0, now - this.updatedAt) / 1_000;
    this.tokens = Math.min(this.size.burst, this.tokens + elapsedSeconds * this.size.rate);
    this.updatedAt = Math.max(this.updatedAt, now);
    return this.tokens;
  }

  /** Acquires tokens if enough are available. */
  public tryAcquire(now: number, amount: number): boolean {
    if (this.available(now) < amount) {
      return false;
    }
    this.tokens -= amount;
    return true;
  }

  /** Changes rate and burst; tokens above the new burst are lost. */
  public resize(now: number, size: BucketSize): void {
    this.available(now);
    this.size = size;
    this.tokens = Math.min(this.tokens, size.burst);
  }
}
