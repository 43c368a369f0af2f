import { sha256Hex } from '@zincring/core';

/** A change of the prefix cache; the engine server publishes it with a delay and may omit it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly change: 'evicted' | 'stored';
  /** Digest of all segments of a prompt up to and including the last one of the prefix. */
  readonly prefix: string;
  readonly tokens: number;
}

interface CachedPrefix {
  readonly program: string;
  /** Number of tokens in the last segment of the prefix only. */
  readonly tokens: number;
}

/**
 * Counts the tokens of a text; the stand-ins count four characters as one token.
 *
 * @example
 * countTokens('0123456789'); // 3
 */
export function countTokens(text: string): number {
  return Math.ceil(text.length / 4);
}

/**
 * Returns the digest of every prefix of a prompt, shortest first.
 *
 * @example
 * prefixDigests(['system', 'first turn']); // two digests
 */
export function prefixDigests(segments: readonly string[]): readonly string[] {
  let previous = '';
  return segments.map(segment => {
    previous = sha256Hex(`${previous}\n${segment}`);
    return previous;
  });
}

/** A prefix cache of bounded size with least-recently-used eviction. */
export class PrefixCache {
  /**
   * Least recently used first: a map iterates in insertion order, and a use inserts the entry
   * again.
   */
  private readonly prefixes = new Map<string, CachedPrefix>();
  private readonly events: CacheEvent[] = [];
  private usedTokens = 0;

  public constructor(private readonly capacityTokens: number) {}

  /** Number of tokens in the cache. */
  public get size(): number {
    return this.usedTokens;
  }

  /** Returns the number of tokens in the longest cached prefix of a prompt. */
  public match(segments: readonly string[]): number {
    let tokens = 0;
    for (const [index, digest] of prefixDigests(segments).entries()) {
      const cached = this.prefixes.get(digest);
      if (cached === undefined) {
        break;
      }
      this.prefixes.delete(digest);
      this.prefixes.set(digest, cached);
      tokens += countTokens(segments[index] ?? '');
    }
    return tokens;
  }

  /** Stores every prefix of a prompt on behalf of a program. */
  public store(program: string, segments: readonly string[]): void {
    for (const [index, digest] of prefixDigests(segments).entries()) {
      if (this.prefixes.has(digest)) {
        continue;
      }
      const tokens = countTokens(segments[index] ?? '');
      this.prefixes.set(digest, { program, tokens });
      this.usedTokens += tokens;
      this.record('stored', digest, tokens);
    }
    this.evictToCapacity();
  }

  /** Evicts all prefixes that were stored for a program. */
  public release(program: string): void {
    for (const [digest, cached] of this.prefixes) {
      if (cached.program === program) {
        this.evict(digest, cached);
      }
    }
  }

  /** Returns the number of cached tokens for each program. */
  public tokensByProgram(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const cached of this.prefixes.values()) {
      totals.set(cached.program, (totals.get(cached.program) ?? 0) + cached.tokens);
    }
    return totals;
  }

  /** Returns the events after a sequence number. */
  public eventsAfter(sequence: number): readonly CacheEvent[] {
    return this.events.slice(sequence);
  }

  private evictToCapacity(): void {
    for (const [digest, cached] of this.prefixes) {
      if (this.usedTokens <= this.capacityTokens) {
        return;
      }
      this.evict(digest, cached);
    }
  }

  private evict(digest: string, cached: CachedPrefix): void {
    this.prefixes.delete(digest);
    this.usedTokens -= cached.tokens;
    this.record('evicted', digest, cached.tokens);
  }

  private record(change: CacheEvent['change'], prefix: string, tokens: number): void {
    this.events.push({ change, prefix, sequence: this.events.length + 1, tokens });
  }
}
