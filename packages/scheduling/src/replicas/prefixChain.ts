import type { Brand } from '@zincring/core';

/** Digest of a prompt's prefix: it stands for every segment from the first up to one. */
export type PrefixDigest = Brand<string, 'PrefixDigest'>;

/** One prefix of a prompt. */
export interface PromptPrefix {
  readonly digest: PrefixDigest;
  /** Tokens of the whole prefix. */
  readonly tokens: number;
}

/** All prefixes of a prompt that may be cached, shortest first, one for each turn. */
export type PrefixChain = readonly PromptPrefix[];
