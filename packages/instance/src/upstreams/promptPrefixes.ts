import type { PrefixChain, PrefixDigest } from '@zincring/scheduling';

import type { UpstreamWork } from './upstreamMessages.js';

import { estimateTokens, prefixDigests } from './workDigest.js';

/**
 * The prefixes of a prompt with their estimated tokens; empty for plain services.
 *
 * @param answer text that the engine added to the prompt, once it is known
 * @example
 * const chain = promptPrefixes(work);
 */
export function promptPrefixes(work: UpstreamWork, answer?: string): PrefixChain {
  if (work.payload.protocol === 'plain') {
    return [];
  }
  const { segments } = work.payload;
  const all = answer === undefined ? segments : [...segments, answer];
  const digests = prefixDigests(all);
  let tokens = 0;
  return all.map((segment, index) => {
    tokens += estimateTokens(segment);
    return { digest: digests[index] as PrefixDigest, tokens };
  });
}
