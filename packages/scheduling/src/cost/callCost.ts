/** What one generated token costs, in prompt tokens. */
const GENERATED_TOKEN_WEIGHT = 8;

/**
 * Cost of a call in prompt tokens, the unit of fair shares and attained service.
 *
 * @param computedTokens prompt tokens that are computed, without those that are cached
 * @param generatedTokens tokens of the answer
 * @example
 * callCost(1_000, 50); // 1400
 */
export function callCost(computedTokens: number, generatedTokens: number): number {
  return computedTokens + GENERATED_TOKEN_WEIGHT * generatedTokens;
}
