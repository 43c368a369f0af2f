import type { Brand } from '@zincring/core';

/**
 * Digest of a prompt's prefix, computed over all segments from the first up to the end of the
 * prefix.
 */
export type PrefixDigest = Brand<string, 'PrefixDigest'>;

/** One prefix of a prompt. */
export interface PromptPrefix {
  readonly digest: PrefixDigest;
  /** Number of tokens of the complete prefix. */
  readonly tokens: number;
}

/** Prefixes of a prompt that may be cached, one for each turn, shortest first. */
export type PrefixChain = readonly PromptPrefix[];
