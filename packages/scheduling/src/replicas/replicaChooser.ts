import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import type { PrefixChain, PrefixDigest } from './prefixChain.js';

/** A replica as the list of the platform tells it. */
export interface ReplicaDescription {
  readonly id: UpstreamId;
  readonly zone: AvailabilityZone;
}

/** A load report of a replica. */
export interface LoadReport {
  /** Calls being computed, from all instances. */
  readonly running: number;
  /** Calls waiting at the replica, from all instances. */
  readonly waiting: number;
  /** Monotonic time that the report describes, as well as it is known. */
  readonly measuredAt: number;
}

/** A change of a replica's prefix cache, as it publishes them late and with gaps. */
export interface CacheChange {
  readonly replica: UpstreamId;
  readonly change: 'evicted' | 'stored';
  readonly digest: PrefixDigest;
}

/** Work that needs a replica. */
export interface PlacementRequest {
  /** Prefixes of the prompt that may be cached; empty for plain services. */
  readonly prefixes: PrefixChain;
  readonly promptTokens: number;
  /** Replicas that must not be chosen, such as those that were tried already. */
  readonly excluded: ReadonlySet<UpstreamId>;
}

/** A replica and what choosing it is expected to cost. */
export interface Placement {
  readonly replica: UpstreamId;
  /** Expected time before the first token, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** Prompt tokens that are expected to be cached there. */
  readonly expectedCachedTokens: number;
}

/** Tells whether a replica may get one more call from this instance right now. */
export type CapacityPredicate = (replica: UpstreamId) => boolean;

/** How a dispatch ended: given up by its caller, failed by the replica's fault, or well. */
export type DispatchEnd = 'cancelled' | 'failed' | 'succeeded';

/** What a finished or failed dispatch tells about its replica. */
export interface DispatchOutcome {
  readonly replica: UpstreamId;
  readonly prefixes: PrefixChain;
  readonly end: DispatchEnd;
  readonly durationMilliseconds: number;
}

/** Chooses the replica that a call is sent to. */
export interface ReplicaChooser {
  /** Takes over the replicas that may get new work; the others are forgotten. */
  update(replicas: readonly ReplicaDescription[]): void;
  /** Chooses without side effects; `undefined` when the call had better wait, or no replica is left. */
  choose(
    request: PlacementRequest,
    now: number,
    hasCapacity: CapacityPredicate,
  ): Placement | undefined;
  /** Counts a call as sent. */
  noteDispatch(replica: UpstreamId, prefixes: PrefixChain, now: number): void;
  /** Counts a call as ended, whatever its end. */
  noteOutcome(outcome: DispatchOutcome, now: number): void;
  /** Takes in a load report. */
  observeLoad(replica: UpstreamId, report: LoadReport): void;
  /** Takes in a cache event. */
  observeCacheChange(change: CacheChange): void;
  /** Gives a replica no new work until a time, after failures that make it suspect. */
  suspectUntil(replica: UpstreamId, until: number): void;
}
