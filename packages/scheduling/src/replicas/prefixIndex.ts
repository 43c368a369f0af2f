import type { Brand } from '@zincring/core';

import type { PrefixChain, PrefixDigest } from './prefixChain.js';

import { trimOldest } from '../util/trimOldest.js';

/**
 * Identifier of a replica for as long as it stays listed; a replica listed again gets a new one,
 * since its cache is empty.
 */
export type ReplicaIncarnation = Brand<number, 'ReplicaIncarnation'>;

/**
 * Maximum number of replicas recorded for one prefix; the least recently recorded one is dropped
 * first.
 */
const MAXIMUM_REPLICAS_PER_PREFIX = 4;

/**
 * Index of the prefixes that replicas are known to hold: those of calls that this instance sent,
 * corrected by cache events and by the usage that replicas report. Its size is bounded; the least
 * recently added prefix is evicted first.
 *
 * @example
 * const prefixIndex = new PrefixIndex(100_000);
 * prefixIndex.add(replicaIncarnation, chain);
 * prefixIndex.countCachedTokens(chain).get(replicaIncarnation);
 */
export class PrefixIndex {
  /** Ordered from least to most recently added: a map keeps the order of insertion. */
  private readonly replicasByPrefix = new Map<PrefixDigest, ReplicaIncarnation[]>();

  public constructor(private readonly maximumPrefixes: number) {}

  /** Number of prefixes in the index. */
  public get size(): number {
    return this.replicasByPrefix.size;
  }

  /** Records that a replica holds every prefix of a chain. */
  public add(replica: ReplicaIncarnation, chain: PrefixChain): void {
    for (const { digest } of chain) {
      this.addPrefix(replica, digest);
    }
    trimOldest(this.replicasByPrefix, this.maximumPrefixes);
  }

  /**
   * Records that a replica holds a prefix, possibly from a call of another instance; ignores
   * prefixes that are not in the index.
   */
  public addIfKnown(replica: ReplicaIncarnation, digest: PrefixDigest): void {
    if (this.replicasByPrefix.has(digest)) {
      this.addPrefix(replica, digest);
    }
  }

  /** Records that a replica no longer holds a prefix. */
  public remove(replica: ReplicaIncarnation, digest: PrefixDigest): void {
    const replicas = this.replicasByPrefix.get(digest);
    const position = replicas?.indexOf(replica) ?? -1;
    if (replicas === undefined || position < 0) {
      return;
    }
    replicas.splice(position, 1);
    if (replicas.length === 0) {
      this.replicasByPrefix.delete(digest);
    }
  }

  /**
   * Token count of the longest prefix that each replica holds; replicas that hold none are omitted.
   */
  public countCachedTokens(chain: PrefixChain): ReadonlyMap<ReplicaIncarnation, number> {
    const tokensByReplica = new Map<ReplicaIncarnation, number>();
    for (const { digest, tokens } of chain) {
      for (const replica of this.replicasByPrefix.get(digest) ?? []) {
        tokensByReplica.set(replica, tokens);
      }
    }
    return tokensByReplica;
  }

  private addPrefix(replica: ReplicaIncarnation, digest: PrefixDigest): void {
    const replicas = this.replicasByPrefix.get(digest) ?? [];
    const position = replicas.indexOf(replica);
    if (position >= 0) {
      replicas.splice(position, 1);
    }
    replicas.push(replica);
    if (replicas.length > MAXIMUM_REPLICAS_PER_PREFIX) {
      replicas.shift();
    }
    this.replicasByPrefix.delete(digest);
    this.replicasByPrefix.set(digest, replicas);
  }
}
