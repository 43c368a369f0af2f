import { sha256Hex } from '@zincring/core';

import type { UpstreamWork } from './upstreamMessages.js';

/**
 * Computes the digests of the prefixes of a prompt, shortest first. Engines identify prefixes in
 * cache events by the same digests.
 *
 * @example
 * computePrefixDigests(['system prompt', 'first question']); // two digests
 */
export function computePrefixDigests(segments: readonly string[]): readonly string[] {
  let previous = '';
  return segments.map(segment => {
    previous = sha256Hex(`${previous}\n${segment}`);
    return previous;
  });
}

/**
 * Computes the digest of the service and the request body; resends have the same digest, whatever
 * their call id.
 *
 * @example
 * const digest = computeWorkDigest(work);
 */
export function computeWorkDigest(work: UpstreamWork): string {
  const { payload, service } = work;
  switch (payload.protocol) {
    case 'engine':
      return sha256Hex(`${service}\n${payload.segments.map(sha256Hex).join('\n')}`);
    case 'plain': {
      const head = `${service}\n${payload.method}\n${payload.path}\n`;
      return sha256Hex(head + sha256Hex(payload.body));
    }
  }
}

/** Assumed characters per token, for estimates before an engine has counted the tokens. */
const CHARACTERS_PER_TOKEN = 4;

/**
 * Estimates the number of tokens of a text.
 *
 * @example
 * estimateTokens('0123456789'); // 3
 */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
