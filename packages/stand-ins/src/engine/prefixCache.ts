import { sha256Hex } from '@zincring/core';

/** A change of the prefix cache, as published late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly change: 'evicted' | 'stored';
  /** Digest of the chain of segments up to and including one segment. */
  readonly prefix: string;
  readonly tokens: number;
}

interface CachedPrefix {
  readonly program: string;
  /** Tokens of the last segment of the prefix alone. */
  readonly tokens: number;
}

/**
 * Counts the tokens of a text as the stand-ins do: four characters each.
 *
 * @example
 * countTokens('0123456789'); // 3
 */
export function countTokens(text: string): number {
  return Math.ceil(text.length / 4);
}

/**
 * Digests of every prefix of a prompt, shortest first.
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

/** A prefix cache of bounded size that evicts what was used least recently. */
export class PrefixCache {
  /** In order of last use: a map keeps the order of insertion. */
  private readonly prefixes = new Map<string, CachedPrefix>();
  private readonly events: CacheEvent[] = [];
  private usedTokens = 0;

  public constructor(private readonly capacityTokens: number) {}

  /** Tokens held. */
  public get size(): number {
    return this.usedTokens;
  }

  /** Tokens of the longest cached prefix of a prompt. */
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

  /** Keeps every prefix of a prompt for a program. */
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

  /** Drops all that is kept for a program. */
  public release(program: string): void {
    for (const [digest, cached] of this.prefixes) {
      if (cached.program === program) {
        this.evict(digest, cached);
      }
    }
  }

  /** Tokens held for each program. */
  public heldTokens(): ReadonlyMap<string, number> {
    const held = new Map<string, number>();
    for (const cached of this.prefixes.values()) {
      held.set(cached.program, (held.get(cached.program) ?? 0) + cached.tokens);
    }
    return held;
  }

  /** Events after a sequence number. */
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
