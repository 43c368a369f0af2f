import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import type { PrefixChain } from './prefixChain.js';
import type {
  CacheChange,
  CapacityPredicate,
  DispatchOutcome,
  LoadReport,
  Placement,
  PlacementRequest,
  ReplicaChooser,
  ReplicaDescription,
} from './replicaChooser.js';
import type { ReplicaIncarnation } from './prefixIndex.js';

import { PrefixIndex } from './prefixIndex.js';
import { ReplicaLoad } from './replicaLoad.js';

/** Options of a {@link CostReplicaChooser}: the terms of its cost function and its bounds. */
export interface CostReplicaChooserOptions {
  /** Availability zone of this instance. */
  readonly zone: AvailabilityZone;
  /** Number of calls that a replica computes concurrently; further calls wait at the replica. */
  readonly slotsPerReplica: number;
  /** Time to compute one prompt token, in milliseconds. */
  readonly prefillMillisecondsPerToken: number;
  /** Delay that one computed prompt token adds to each other call of the batch, in milliseconds. */
  readonly batchDelayMillisecondsPerToken: number;
  /** Expected duration of a call before any has been measured, in milliseconds. */
  readonly callMilliseconds: number;
  /** Cost of a replica in another availability zone, in milliseconds. */
  readonly zoneMilliseconds: number;
  /**
   * Cost of each other call at the replica, since the calls of a batch share its compute, in
   * milliseconds.
   */
  readonly sharingMilliseconds: number;
  /** Maximum number of prefixes in the index. */
  readonly maximumPrefixes: number;
  /**
   * Returns random numbers from 0 (inclusive) to 1 (exclusive); samples candidates and breaks ties
   * between replicas of nearly equal cost.
   */
  readonly random: () => number;
}

/**
 * Number of replicas up to which all are compared; above it, only two random ones and those that
 * hold a prefix.
 */
const MAXIMUM_FULL_SCAN_REPLICAS = 32;
/** Number of random replicas that are compared when there are too many for a full scan. */
const RANDOM_CANDIDATES = 2;
/**
 * Cost difference up to which replicas count as equal, in milliseconds; a random choice among them
 * keeps instances from herding.
 */
const COST_TOLERANCE_MILLISECONDS = 20;

interface KnownReplica extends ReplicaDescription {
  readonly replicaIncarnation: ReplicaIncarnation;
  readonly load: ReplicaLoad;
}

interface Candidate extends Placement {
  readonly hasCapacity: boolean;
}

/**
 * Chooses the replica with the lowest cost: the time in its queue, the prompt tokens that are not
 * cached and have to be computed, which delay the other calls of the batch too, the calls that
 * share the replica, and a different availability zone. If a replica without capacity costs less
 * even with the wait for a slot, the call waits.
 *
 * @example
 * const placement = chooser.choose(request, now, id => windows.get(id)?.hasCapacity(now) === true);
 */
export class CostReplicaChooser implements ReplicaChooser {
  private readonly prefixIndex: PrefixIndex;
  private replicas = new Map<UpstreamId, KnownReplica>();
  private replicasByIncarnation = new Map<ReplicaIncarnation, KnownReplica>();
  private replicaList: readonly KnownReplica[] = [];
  private nextIncarnation = 0;

  public constructor(private readonly options: CostReplicaChooserOptions) {
    this.prefixIndex = new PrefixIndex(options.maximumPrefixes);
  }

  /** Number of prefixes in the index. */
  public get prefixCount(): number {
    return this.prefixIndex.size;
  }

  public update(replicas: readonly ReplicaDescription[]): void {
    const updated = new Map<UpstreamId, KnownReplica>();
    for (const { id, zone } of replicas) {
      const known = this.replicas.get(id);
      const load = known?.load ?? new ReplicaLoad(this.options.callMilliseconds);
      const replicaIncarnation =
        known?.replicaIncarnation ?? (this.nextIncarnation++ as ReplicaIncarnation);
      updated.set(id, { id, load, replicaIncarnation, zone });
    }
    this.replicas = updated;
    this.replicaList = [...updated.values()];
    this.replicasByIncarnation = new Map(
      this.replicaList.map(replica => [replica.replicaIncarnation, replica]),
    );
  }

  public choose(
    request: PlacementRequest,
    now: number,
    hasCapacity: CapacityPredicate,
  ): Placement | undefined {
    const cachedTokens = this.prefixIndex.countCachedTokens(request.prefixes);
    const candidates: Candidate[] = [];
    let lowestMilliseconds = Infinity;
    for (const replica of this.selectCandidates(cachedTokens)) {
      if (replica.load.suspectedUntil > now || request.excluded.has(replica.id)) {
        continue;
      }
      const candidate = this.estimateCost(replica, request, cachedTokens, hasCapacity);
      candidates.push(candidate);
      lowestMilliseconds = Math.min(lowestMilliseconds, candidate.expectedMilliseconds);
    }
    const eligible = candidates.filter(
      ({ expectedMilliseconds, hasCapacity: isAvailable }) =>
        isAvailable && expectedMilliseconds <= lowestMilliseconds + COST_TOLERANCE_MILLISECONDS,
    );
    return eligible[Math.floor(this.options.random() * eligible.length)];
  }

  public recordDispatch(replica: UpstreamId, prefixes: PrefixChain, now: number): void {
    const known = this.replicas.get(replica);
    known?.load.recordDispatch(now);
    if (known !== undefined) {
      this.prefixIndex.add(known.replicaIncarnation, prefixes);
    }
  }

  public recordOutcome(outcome: DispatchOutcome, now: number): void {
    const { durationMilliseconds, end, prefixes, replica } = outcome;
    const known = this.replicas.get(replica);
    if (known === undefined) {
      return;
    }
    known.load.recordEnd(durationMilliseconds, now);
    switch (end) {
      case 'cancelled':
        return;
      case 'failed':
        this.removePrefixes(known, prefixes);
        return;
      case 'succeeded':
        this.prefixIndex.add(known.replicaIncarnation, prefixes);
        return;
    }
  }

  public observeLoad(replica: UpstreamId, report: LoadReport): void {
    this.replicas.get(replica)?.load.observe(report);
  }

  public observeCacheChange({ change, digest, replica }: CacheChange): void {
    const known = this.replicas.get(replica);
    if (known === undefined) {
      return;
    }
    switch (change) {
      case 'evicted':
        this.prefixIndex.remove(known.replicaIncarnation, digest);
        return;
      case 'stored':
        this.prefixIndex.addIfKnown(known.replicaIncarnation, digest);
        return;
    }
  }

  public suspectUntil(replica: UpstreamId, until: number): void {
    const known = this.replicas.get(replica);
    if (known !== undefined) {
      known.load.suspectedUntil = until;
    }
  }

  private removePrefixes({ replicaIncarnation }: KnownReplica, prefixes: PrefixChain): void {
    for (const { digest } of prefixes) {
      this.prefixIndex.remove(replicaIncarnation, digest);
    }
  }

  private selectCandidates(
    cachedTokens: ReadonlyMap<ReplicaIncarnation, number>,
  ): Iterable<KnownReplica> {
    if (this.replicaList.length <= MAXIMUM_FULL_SCAN_REPLICAS) {
      return this.replicaList;
    }
    const chosen = new Set<KnownReplica>();
    for (const replicaIncarnation of cachedTokens.keys()) {
      const holder = this.replicasByIncarnation.get(replicaIncarnation);
      if (holder !== undefined) {
        chosen.add(holder);
      }
    }
    for (let count = 0; count < RANDOM_CANDIDATES; count++) {
      const sample = this.replicaList[Math.floor(this.options.random() * this.replicaList.length)];
      if (sample !== undefined) {
        chosen.add(sample);
      }
    }
    return chosen;
  }

  private estimateCost(
    replica: KnownReplica,
    request: PlacementRequest,
    cachedTokens: ReadonlyMap<ReplicaIncarnation, number>,
    hasCapacity: CapacityPredicate,
  ): Candidate {
    const { options } = this;
    const { predictedCalls, meanCallMilliseconds } = replica.load;
    const expectedCachedTokens = Math.min(
      request.promptTokens,
      cachedTokens.get(replica.replicaIncarnation) ?? 0,
    );
    const uncachedTokens = request.promptTokens - expectedCachedTokens;
    const millisecondsPerSlot = meanCallMilliseconds / options.slotsPerReplica;
    const batchSize = Math.min(predictedCalls, options.slotsPerReplica);
    const millisecondsPerToken =
      options.prefillMillisecondsPerToken + batchSize * options.batchDelayMillisecondsPerToken;
    const isAvailable = hasCapacity(replica.id);
    const slotsToWaitFor = Math.max(
      isAvailable ? 0 : 1,
      predictedCalls - options.slotsPerReplica + 1,
    );
    return {
      expectedCachedTokens,
      expectedMilliseconds:
        slotsToWaitFor * millisecondsPerSlot +
        uncachedTokens * millisecondsPerToken +
        predictedCalls * options.sharingMilliseconds +
        (replica.zone === options.zone ? 0 : options.zoneMilliseconds),
      hasCapacity: isAvailable,
      replica: replica.id,
    };
  }
}
