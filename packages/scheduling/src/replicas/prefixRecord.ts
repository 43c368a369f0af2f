import type { Brand } from '@zincring/core';

import type { PrefixChain, PrefixDigest } from './prefixChain.js';

import { trimOldest } from '../util/trimOldest.js';

/** Number of one run of a replica: a replica that comes back holds nothing of what it held. */
export type ReplicaRun = Brand<number, 'ReplicaRun'>;

/** Replicas that one prefix is remembered at, at most; the one used least recently goes first. */
const MAX_HOLDERS = 4;

/**
 * What this instance knows of the prefixes that replicas hold: what it sent itself, corrected by
 * cache events and by the usage that replicas report. Bounded; the prefix used least recently is
 * forgotten first.
 *
 * @example
 * const record = new PrefixRecord(100_000);
 * record.add(run, chain);
 * record.cachedTokens(chain).get(run);
 */
export class PrefixRecord {
  /** In order of last use: a map keeps the order of insertion. */
  private readonly holders = new Map<PrefixDigest, ReplicaRun[]>();

  public constructor(private readonly maxPrefixes: number) {}

  /** Number of prefixes remembered. */
  public get size(): number {
    return this.holders.size;
  }

  /** Remembers that a replica holds every prefix of a chain. */
  public add(replica: ReplicaRun, chain: PrefixChain): void {
    for (const { digest } of chain) {
      this.addOne(replica, digest);
    }
    trimOldest(this.holders, this.maxPrefixes);
  }

  /** Takes in that a replica stored a prefix that it may have learned elsewhere. */
  public addIfKnown(replica: ReplicaRun, digest: PrefixDigest): void {
    if (this.holders.has(digest)) {
      this.addOne(replica, digest);
    }
  }

  /** Forgets that a replica holds one prefix. */
  public remove(replica: ReplicaRun, digest: PrefixDigest): void {
    const holders = this.holders.get(digest);
    const position = holders?.indexOf(replica) ?? -1;
    if (holders === undefined || position < 0) {
      return;
    }
    holders.splice(position, 1);
    if (holders.length === 0) {
      this.holders.delete(digest);
    }
  }

  /** Tokens of the longest prefix that each replica holds; replicas that hold none are left out. */
  public cachedTokens(chain: PrefixChain): ReadonlyMap<ReplicaRun, number> {
    const tokensByReplica = new Map<ReplicaRun, number>();
    for (const { digest, tokens } of chain) {
      for (const replica of this.holders.get(digest) ?? []) {
        tokensByReplica.set(replica, tokens);
      }
    }
    return tokensByReplica;
  }

  private addOne(replica: ReplicaRun, digest: PrefixDigest): void {
    const holders = this.holders.get(digest) ?? [];
    const position = holders.indexOf(replica);
    if (position >= 0) {
      holders.splice(position, 1);
    }
    holders.push(replica);
    if (holders.length > MAX_HOLDERS) {
      holders.shift();
    }
    this.holders.delete(digest);
    this.holders.set(digest, holders);
  }
}
