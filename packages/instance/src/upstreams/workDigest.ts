import { sha256Hex } from '@zincring/core';

import type { UpstreamWork } from './upstreamMessages.js';

/**
 * Digests of the prefixes of a prompt, shortest first, as engines name them in cache events.
 *
 * @example
 * prefixDigests(['system prompt', 'first question']); // two digests
 */
export function prefixDigests(segments: readonly string[]): readonly string[] {
  let previous = '';
  return segments.map(segment => {
    previous = sha256Hex(`${previous}\n${segment}`);
    return previous;
  });
}

/**
 * Digest of what an upstream would be asked to run: equal for resends, whatever their call id.
 *
 * @example
 * const digest = workDigest(work);
 */
export function workDigest(work: UpstreamWork): string {
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

/** Characters of a token, for estimates before an engine has counted. */
const CHARACTERS_PER_TOKEN = 4;

/**
 * Estimates the tokens of a text.
 *
 * @example
 * estimateTokens('0123456789'); // 3
 */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
