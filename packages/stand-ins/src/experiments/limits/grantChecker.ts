import type { BucketSize } from '@zincring/coordination';

/** Tokens by which rounding errors may take the bucket below zero. */
const ROUNDING_TOLERANCE_TOKENS = 1e-6;

/**
 * Checks a trace of grants on the clock of the simulation, which has no drift. Every window of a
 * trace stays within rate × window + burst if and only if one bucket of that rate and burst, full
 * at the start, never goes below zero.
 */
export class GrantChecker {
  private tokens: number;
  private updatedAt = 0;
  private minimum = Number.POSITIVE_INFINITY;
  /** Number of grants recorded. */
  public grants = 0;
  /** Number of grants for which the bucket did not hold enough tokens. */
  public violations = 0;

  public constructor(private size: BucketSize) {
    this.tokens = size.burst;
  }

  /** Lowest number of tokens in the bucket so far. */
  public get minimumTokens(): number {
    return this.minimum;
  }

  /** Changes the rate and burst against which later grants are checked. */
  public resize(now: number, size: BucketSize): void {
    this.advance(now);
    this.size = size;
    this.tokens = Math.min(this.tokens, size.burst);
  }

  /** Records a grant and counts it as a violation if the bucket cannot cover it. */
  public recordGrant(now: number): void {
    this.advance(now);
    this.grants++;
    this.tokens -= 1;
    this.minimum = Math.min(this.minimum, this.tokens);
    if (this.tokens < -ROUNDING_TOLERANCE_TOKENS) {
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

/** Optimal limiter for comparison: one bucket that receives every request in order of arrival. */
export class ReferenceLimiter {
  private tokens: number;
  private updatedAt = 0;

  public constructor(private readonly size: BucketSize) {
    this.tokens = size.burst;
  }

  /** Whether a request that may wait for the given time gets a token. */
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
