import type { BucketSize } from './tokenBucket.js';

/**
 * Minimum burst, in tokens, that is divided in proportion to the shares. A smaller burst is
 * indivisible: the holder of more than half of the shares has all of it, any other has none.
 * Proportional parts of so few tokens would leave nobody a whole token.
 */
const MINIMUM_DIVISIBLE_BURST = 4;
const HALF = 0.5;

/**
 * Calculates the maximum number of tokens that a share may hold. The capacities of shares that add
 * up to at most 1 add up to at most the burst.
 *
 * @param share fraction of rate and burst, from 0 to 1
 * @example
 * shareCapacity({ rate: 10, burst: 64 }, 1 / 64); // 1
 * shareCapacity({ rate: 1, burst: 2 }, 0.75); // 2
 */
export function shareCapacity(size: BucketSize, share: number): number {
  if (size.burst >= MINIMUM_DIVISIBLE_BURST) {
    return share * size.burst;
  }
  return share > HALF ? size.burst : 0;
}

/**
 * Calculates the share that must be kept to back a number of tokens.
 *
 * @example
 * shareForTokens({ rate: 10, burst: 64 }, 2); // 1 / 32
 */
export function shareForTokens(size: BucketSize, tokens: number): number {
  if (tokens <= 0) {
    return 0;
  }
  // No share of an indivisible burst may go elsewhere while any of its tokens are lent.
  return size.burst >= MINIMUM_DIVISIBLE_BURST ? tokens / size.burst : 1;
}
