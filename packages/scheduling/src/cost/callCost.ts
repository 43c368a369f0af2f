/** Cost of one generated token, in prompt tokens. */
const GENERATED_TOKEN_WEIGHT = 8;

/**
 * Computes the cost of a call in prompt tokens, the unit of fair shares and attained service.
 *
 * @param computedTokens number of prompt tokens that are computed, excluding those that are cached
 * @param generatedTokens number of tokens of the response
 * @example
 * callCost(1_000, 50); // 1400
 */
export function callCost(computedTokens: number, generatedTokens: number): number {
  return computedTokens + GENERATED_TOKEN_WEIGHT * generatedTokens;
}
