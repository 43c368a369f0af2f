import type { BucketSize } from '@zincring/coordination';

/** Tokens below zero that rounding may cause. */
const ROUNDING = 1e-6;

/**
 * Judges a trace of grants in true time. Every window of a trace keeps within rate × window +
 * burst if and only if one bucket of that rate and burst, full at the start, never goes below zero.
 */
export class GrantChecker {
  private tokens: number;
  private updatedAt = 0;
  private lowest = Number.POSITIVE_INFINITY;
  /** Grants seen. */
  public grants = 0;
  /** Grants that the bucket could not cover. */
  public violations = 0;

  public constructor(private size: BucketSize) {
    this.tokens = size.burst;
  }

  /** The least that the bucket ever held. */
  public get lowestTokens(): number {
    return this.lowest;
  }

  /** Changes the rate and burst that are in force anywhere. */
  public resize(now: number, size: BucketSize): void {
    this.advance(now);
    this.size = size;
    this.tokens = Math.min(this.tokens, size.burst);
  }

  /** Notes a grant. */
  public grant(now: number): void {
    this.advance(now);
    this.grants++;
    this.tokens -= 1;
    this.lowest = Math.min(this.lowest, this.tokens);
    if (this.tokens < -ROUNDING) {
      this.violations++;
      this.tokens = Math.max(this.tokens, 0);
    }
  }

  private advance(now: number): void {
    const seconds = (now - this.updatedAt) / 1_000;
    this.tokens = Math.min(this.size.burst, this.tokens + seconds * this.size.rate);
    this.updatedAt = now;
  }
}

/** One bucket that sees every request in the order of arrival: the best that can be done. */
export class PerfectLimiter {
  private tokens: number;
  private updatedAt = 0;

  public constructor(private readonly size: BucketSize) {
    this.tokens = size.burst;
  }

  /** Whether a request that may wait gets a token. */
  public admit(now: number, waitMilliseconds: number): boolean {
    const seconds = (now - this.updatedAt) / 1_000;
    this.tokens = Math.min(this.size.burst, this.tokens + seconds * this.size.rate);
    this.updatedAt = now;
    const wait = ((1 - this.tokens) / this.size.rate) * 1_000;
    if (wait > waitMilliseconds) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
