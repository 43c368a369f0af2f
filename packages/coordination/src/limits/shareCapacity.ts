import type { BucketSize } from './tokenBucket.js';

/**
 * Bursts below this stay whole: the holder of more than half of the shares has all of the burst,
 * any other has none. A proportional part of so few tokens would leave whole tokens to no one.
 */
const WHOLE_BURST_LIMIT = 4;
const HALF = 0.5;

/**
 * The most tokens that a share may hold. Over shares that add up to 1 at most, the capacities add
 * up to the burst at most.
 *
 * @param share part of the whole, from 0 to 1
 * @example
 * shareCapacity({ rate: 10, burst: 64 }, 1 / 64); // 1
 * shareCapacity({ rate: 1, burst: 2 }, 0.75); // 2
 */
export function shareCapacity(size: BucketSize, share: number): number {
  if (size.burst >= WHOLE_BURST_LIMIT) {
    return share * size.burst;
  }
  return share > HALF ? size.burst : 0;
}

/**
 * The least share whose capacity holds a number of tokens.
 *
 * @example
 * shareForTokens({ rate: 10, burst: 64 }, 2); // 1 / 32
 */
export function shareForTokens(size: BucketSize, tokens: number): number {
  if (tokens <= 0) {
    return 0;
  }
  // A burst that stays whole cannot be divided while a part of it is lent.
  return size.burst >= WHOLE_BURST_LIMIT ? tokens / size.burst : 1;
}
