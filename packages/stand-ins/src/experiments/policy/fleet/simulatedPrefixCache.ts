import type { PrefixChain, PrefixDigest } from '@zincring/scheduling';

interface CachedPrefix {
  readonly tokens: number;
  readonly program: string;
}

/**
 * Prefix cache of an engine with a bounded number of tokens. Evicts the least recently used prefix
 * first, and the longer prefixes of a chain before the shorter ones.
 */
export class SimulatedPrefixCache {
  private readonly prefixes = new Map<PrefixDigest, CachedPrefix>();
  private readonly digestsByProgram = new Map<string, Set<PrefixDigest>>();
  private usedTokens = 0;

  /** @param onEvicted called for each prefix that is evicted to make room for others */
  public constructor(
    private readonly capacityTokens: number,
    private readonly onEvicted: (digest: PrefixDigest) => void,
  ) {}

  /** Returns the number of tokens in the longest cached prefix of a chain and marks it as used. */
  public match(chain: PrefixChain): number {
    let tokens = 0;
    let matchedCount = 0;
    for (const prefix of chain) {
      if (!this.prefixes.has(prefix.digest)) {
        break;
      }
      tokens = prefix.tokens;
      matchedCount++;
    }
    for (const { digest } of chain.slice(0, matchedCount).reverse()) {
      const prefix = this.prefixes.get(digest);
      if (prefix !== undefined) {
        this.prefixes.delete(digest);
        this.prefixes.set(digest, prefix);
      }
    }
    return tokens;
  }

  /** Stores all prefixes of a chain and evicts others if the capacity is exceeded. */
  public store(program: string, chain: PrefixChain): void {
    for (let index = chain.length - 1; index >= 0; index--) {
      const prefix = chain[index];
      if (prefix === undefined) {
        continue;
      }
      const tokens = prefix.tokens - (chain[index - 1]?.tokens ?? 0);
      this.insert(prefix.digest, { program: index === 0 ? '' : program, tokens });
    }
    for (const [digest] of this.prefixes) {
      if (this.usedTokens <= this.capacityTokens) {
        return;
      }
      this.remove(digest);
      this.onEvicted(digest);
    }
  }

  /** Removes the prefixes that belong to the given program alone. */
  public release(program: string): void {
    for (const digest of this.digestsByProgram.get(program) ?? []) {
      this.remove(digest);
    }
  }

  private insert(digest: PrefixDigest, prefix: CachedPrefix): void {
    const existing = this.prefixes.get(digest);
    if (existing !== undefined) {
      this.prefixes.delete(digest);
      this.prefixes.set(digest, existing);
      return;
    }
    this.prefixes.set(digest, prefix);
    this.usedTokens += prefix.tokens;
    const digests = this.digestsByProgram.get(prefix.program) ?? new Set();
    digests.add(digest);
    this.digestsByProgram.set(prefix.program, digests);
  }

  private remove(digest: PrefixDigest): void {
    const prefix = this.prefixes.get(digest);
    if (prefix === undefined) {
      return;
    }
    this.prefixes.delete(digest);
    this.usedTokens -= prefix.tokens;
    const digests = this.digestsByProgram.get(prefix.program);
    digests?.delete(digest);
    if (digests?.size === 0) {
      this.digestsByProgram.delete(prefix.program);
    }
  }
}
