import type { PrefixChain, PrefixDigest } from '@zincring/scheduling';

import type { UpstreamWork } from './upstreamMessages.js';

import { estimateTokens, computePrefixDigests } from './workDigest.js';

/**
 * Computes the prefixes of a prompt and estimates their tokens; empty for plain services.
 *
 * @param generatedText text that the engine generated after the prompt, once it is known
 * @example
 * const chain = computePromptPrefixes(work);
 */
export function computePromptPrefixes(work: UpstreamWork, generatedText?: string): PrefixChain {
  if (work.payload.protocol === 'plain') {
    return [];
  }
  const { segments } = work.payload;
  const allSegments = generatedText === undefined ? segments : [...segments, generatedText];
  const digests = computePrefixDigests(allSegments);
  let tokens = 0;
  return allSegments.map((segment, index) => {
    tokens += estimateTokens(segment);
    return { digest: digests[index] as PrefixDigest, tokens };
  });
}
