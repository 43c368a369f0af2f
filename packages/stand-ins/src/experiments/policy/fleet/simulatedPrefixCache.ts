import type { PrefixChain, PrefixDigest } from '@zincring/scheduling';

interface HeldPrefix {
  readonly tokens: number;
  readonly program: string;
}

/** Prefixes of bounded size in an engine; what was used least recently goes first, leaves before roots. */
export class PrefixMemory {
  private readonly held = new Map<PrefixDigest, HeldPrefix>();
  private readonly digestsByProgram = new Map<string, Set<PrefixDigest>>();
  private usedTokens = 0;

  /** @param onEvicted hears of prefixes that made room for others */
  public constructor(
    private readonly capacityTokens: number,
    private readonly onEvicted: (digest: PrefixDigest) => void,
  ) {}

  /** Tokens of the longest prefix that is held. */
  public match(chain: PrefixChain): number {
    let tokens = 0;
    let depth = 0;
    for (const prefix of chain) {
      if (!this.held.has(prefix.digest)) {
        break;
      }
      tokens = prefix.tokens;
      depth++;
    }
    for (const { digest } of chain.slice(0, depth).reverse()) {
      const prefix = this.held.get(digest);
      if (prefix !== undefined) {
        this.held.delete(digest);
        this.held.set(digest, prefix);
      }
    }
    return tokens;
  }

  /** Holds all prefixes of a chain. */
  public store(program: string, chain: PrefixChain): void {
    for (let index = chain.length - 1; index >= 0; index--) {
      const prefix = chain[index];
      if (prefix === undefined) {
        continue;
      }
      const tokens = prefix.tokens - (chain[index - 1]?.tokens ?? 0);
      this.hold(prefix.digest, { program: index === 0 ? '' : program, tokens });
    }
    for (const [digest] of this.held) {
      if (this.usedTokens <= this.capacityTokens) {
        return;
      }
      this.drop(digest);
      this.onEvicted(digest);
    }
  }

  /** Drops all that is held for a program alone. */
  public release(program: string): void {
    for (const digest of this.digestsByProgram.get(program) ?? []) {
      this.drop(digest);
    }
  }

  private hold(digest: PrefixDigest, prefix: HeldPrefix): void {
    const known = this.held.get(digest);
    if (known !== undefined) {
      this.held.delete(digest);
      this.held.set(digest, known);
      return;
    }
    this.held.set(digest, prefix);
    this.usedTokens += prefix.tokens;
    const digests = this.digestsByProgram.get(prefix.program) ?? new Set();
    digests.add(digest);
    this.digestsByProgram.set(prefix.program, digests);
  }

  private drop(digest: PrefixDigest): void {
    const prefix = this.held.get(digest);
    if (prefix === undefined) {
      return;
    }
    this.held.delete(digest);
    this.usedTokens -= prefix.tokens;
    const digests = this.digestsByProgram.get(prefix.program);
    digests?.delete(digest);
    if (digests?.size === 0) {
      this.digestsByProgram.delete(prefix.program);
    }
  }
}
