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
import type { ReplicaRun } from './prefixRecord.js';

import { PrefixRecord } from './prefixRecord.js';
import { ReplicaLoad } from './replicaLoad.js';

/** What the cost of a replica is made of. */
export interface CostReplicaChooserOptions {
  /** Availability zone of this instance. */
  readonly zone: AvailabilityZone;
  /** Calls that a replica computes at a time; more have to wait there. */
  readonly slotsPerReplica: number;
  /** Time to compute one prompt token, in milliseconds. */
  readonly prefillMillisecondsPerToken: number;
  /** Time by which one computed prompt token holds up each call of the batch, in milliseconds. */
  readonly batchDelayMillisecondsPerToken: number;
  /** Expected time of a call before any was measured, in milliseconds. */
  readonly callMilliseconds: number;
  /** Price of leaving the own availability zone, in milliseconds. */
  readonly zoneMilliseconds: number;
  /** Price of each call that is computed beside, since a batch shares the replica, in milliseconds. */
  readonly sharingMilliseconds: number;
  /** Prefixes remembered, at most. */
  readonly maxPrefixes: number;
  /** Numbers from 0 up to 1, for choices between replicas of nearly equal cost. */
  readonly random: () => number;
}

/** Up to this number of replicas all are compared; above it, only two random ones and the holders. */
const FULL_SCAN_REPLICAS = 32;
/** Random replicas that are compared when there are too many for a full scan. */
const RANDOM_CANDIDATES = 2;
/** Costs this much apart count as equal, in milliseconds: it keeps instances from herding. */
const EQUAL_COST_MILLISECONDS = 20;

interface KnownReplica extends ReplicaDescription {
  readonly run: ReplicaRun;
  readonly load: ReplicaLoad;
}

interface Candidate extends Placement {
  readonly hasCapacity: boolean;
}

/**
 * Chooses the replica with the least cost: queueing, prompt tokens to compute again, which hold up
 * the other calls of the batch too, and the way to another availability zone. When a replica without capacity
 * would be the better one even after waiting for a place, the call waits.
 *
 * @example
 * const placement = chooser.choose(request, timers.now(), id => windows.hasRoom(id));
 */
export class CostReplicaChooser implements ReplicaChooser {
  private readonly record: PrefixRecord;
  private replicas = new Map<UpstreamId, KnownReplica>();
  private replicasByRun = new Map<ReplicaRun, KnownReplica>();
  private order: readonly KnownReplica[] = [];
  private nextRun = 0;

  public constructor(private readonly options: CostReplicaChooserOptions) {
    this.record = new PrefixRecord(options.maxPrefixes);
  }

  /** Prefixes remembered. */
  public get rememberedPrefixes(): number {
    return this.record.size;
  }

  public update(replicas: readonly ReplicaDescription[]): void {
    const updated = new Map<UpstreamId, KnownReplica>();
    for (const { id, zone } of replicas) {
      const known = this.replicas.get(id);
      const load = known?.load ?? new ReplicaLoad(this.options.callMilliseconds);
      const run = known?.run ?? (this.nextRun++ as ReplicaRun);
      updated.set(id, { id, load, run, zone });
    }
    this.replicas = updated;
    this.order = [...updated.values()];
    this.replicasByRun = new Map(this.order.map(replica => [replica.run, replica]));
  }

  public choose(
    request: PlacementRequest,
    now: number,
    hasCapacity: CapacityPredicate,
  ): Placement | undefined {
    const cached = this.record.cachedTokens(request.prefixes);
    const candidates: Candidate[] = [];
    let leastMilliseconds = Infinity;
    for (const replica of this.candidates(cached)) {
      if (replica.load.suspectedUntil > now || request.excluded.has(replica.id)) {
        continue;
      }
      const candidate = this.price(replica, request, cached, hasCapacity);
      candidates.push(candidate);
      leastMilliseconds = Math.min(leastMilliseconds, candidate.expectedMilliseconds);
    }
    const good = candidates.filter(
      ({ expectedMilliseconds, hasCapacity: isOpen }) =>
        isOpen && expectedMilliseconds <= leastMilliseconds + EQUAL_COST_MILLISECONDS,
    );
    return good[Math.floor(this.options.random() * good.length)];
  }

  public noteDispatch(replica: UpstreamId, prefixes: PrefixChain, now: number): void {
    const known = this.replicas.get(replica);
    known?.load.noteDispatch(now);
    if (known !== undefined) {
      this.record.add(known.run, prefixes);
    }
  }

  public noteOutcome(outcome: DispatchOutcome, now: number): void {
    const { durationMilliseconds, end, prefixes, replica } = outcome;
    const known = this.replicas.get(replica);
    if (known === undefined) {
      return;
    }
    known.load.noteEnd(durationMilliseconds, now);
    switch (end) {
      case 'cancelled':
        return;
      case 'failed':
        this.forget(known, prefixes);
        return;
      case 'succeeded':
        this.record.add(known.run, prefixes);
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
        this.record.remove(known.run, digest);
        return;
      case 'stored':
        this.record.addIfKnown(known.run, digest);
        return;
    }
  }

  public suspectUntil(replica: UpstreamId, until: number): void {
    const known = this.replicas.get(replica);
    if (known !== undefined) {
      known.load.suspectedUntil = until;
    }
  }

  private forget({ run }: KnownReplica, prefixes: PrefixChain): void {
    for (const { digest } of prefixes) {
      this.record.remove(run, digest);
    }
  }

  private candidates(cached: ReadonlyMap<ReplicaRun, number>): Iterable<KnownReplica> {
    if (this.order.length <= FULL_SCAN_REPLICAS) {
      return this.order;
    }
    const chosen = new Set<KnownReplica>();
    for (const run of cached.keys()) {
      const holder = this.replicasByRun.get(run);
      if (holder !== undefined) {
        chosen.add(holder);
      }
    }
    for (let count = 0; count < RANDOM_CANDIDATES; count++) {
      const sample = this.order[Math.floor(this.options.random() * this.order.length)];
      if (sample !== undefined) {
        chosen.add(sample);
      }
    }
    return chosen;
  }

  private price(
    replica: KnownReplica,
    request: PlacementRequest,
    cached: ReadonlyMap<ReplicaRun, number>,
    hasCapacity: CapacityPredicate,
  ): Candidate {
    const { options } = this;
    const { predictedCalls, meanCallMilliseconds } = replica.load;
    const expectedCachedTokens = Math.min(request.promptTokens, cached.get(replica.run) ?? 0);
    const uncachedTokens = request.promptTokens - expectedCachedTokens;
    const millisecondsPerPlace = meanCallMilliseconds / options.slotsPerReplica;
    const batchSize = Math.min(predictedCalls, options.slotsPerReplica);
    const millisecondsPerToken =
      options.prefillMillisecondsPerToken + batchSize * options.batchDelayMillisecondsPerToken;
    const isOpen = hasCapacity(replica.id);
    const placesToWait = Math.max(isOpen ? 0 : 1, predictedCalls - options.slotsPerReplica + 1);
    return {
      expectedCachedTokens,
      expectedMilliseconds:
        placesToWait * millisecondsPerPlace +
        uncachedTokens * millisecondsPerToken +
        predictedCalls * options.sharingMilliseconds +
        (replica.zone === options.zone ? 0 : options.zoneMilliseconds),
      hasCapacity: isOpen,
      replica: replica.id,
    };
  }
}
