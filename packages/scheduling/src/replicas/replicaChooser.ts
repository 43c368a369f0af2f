import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import type { PrefixChain, PrefixDigest } from './prefixChain.js';

/** A replica as listed by the platform. */
export interface ReplicaDescription {
  readonly id: UpstreamId;
  readonly zone: AvailabilityZone;
}

/** A load report of a replica. */
export interface LoadReport {
  /** Number of calls being computed, from all instances. */
  readonly running: number;
  /** Number of calls waiting at the replica, from all instances. */
  readonly waiting: number;
  /** Estimated monotonic time at which the load was measured, in milliseconds. */
  readonly measuredAt: number;
}

/** A change of a replica's prefix cache. Replicas publish these with delays and gaps. */
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
  /** Replicas that must not be chosen, such as those already tried. */
  readonly excluded: ReadonlySet<UpstreamId>;
}

/** A chosen replica and its expected cost. */
export interface Placement {
  readonly replica: UpstreamId;
  /** Expected time before the first token, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** Number of prompt tokens that are expected to be cached there. */
  readonly expectedCachedTokens: number;
}

/** Returns whether a replica may get one more call from this instance now. */
export type CapacityPredicate = (replica: UpstreamId) => boolean;

/**
 * End of a dispatched call: cancelled by its caller, failed through a fault of the replica, or
 * succeeded.
 */
export type DispatchEnd = 'cancelled' | 'failed' | 'succeeded';

/** Outcome of a dispatched call, from which the estimates of its replica are updated. */
export interface DispatchOutcome {
  readonly replica: UpstreamId;
  readonly prefixes: PrefixChain;
  readonly end: DispatchEnd;
  readonly durationMilliseconds: number;
}

/** Chooses the replica that a call is sent to. */
export interface ReplicaChooser {
  /** Replaces the list of replicas that may get new work; the state of all others is dropped. */
  update(replicas: readonly ReplicaDescription[]): void;
  /**
   * Chooses a replica without side effects; `undefined` if the call should wait or no replica is
   * left.
   */
  choose(
    request: PlacementRequest,
    now: number,
    hasCapacity: CapacityPredicate,
  ): Placement | undefined;
  /** Records that a call was sent. */
  recordDispatch(replica: UpstreamId, prefixes: PrefixChain, now: number): void;
  /** Records the end of a call, whatever its outcome. */
  recordOutcome(outcome: DispatchOutcome, now: number): void;
  /** Applies a load report. */
  observeLoad(replica: UpstreamId, report: LoadReport): void;
  /** Applies a cache event. */
  observeCacheChange(change: CacheChange): void;
  /** Excludes a replica from new work until a monotonic time, after a failure. */
  suspectUntil(replica: UpstreamId, until: number): void;
}
