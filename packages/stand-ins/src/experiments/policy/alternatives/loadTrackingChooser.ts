import type { UpstreamId } from '@zincring/core';
import type {
  CapacityPredicate,
  DispatchOutcome,
  LoadReport,
  Placement,
  PlacementRequest,
  PrefixChain,
  ReplicaChooser,
  ReplicaDescription,
} from '@zincring/scheduling';

import { hash32 } from '@zincring/core';
import { ReplicaLoad } from '@zincring/scheduling';

interface TrackedReplica {
  readonly id: UpstreamId;
  readonly load: ReplicaLoad;
}

/** Duration of a call that is assumed before any has been measured at the replica. */
const INITIAL_CALL_MILLISECONDS = 4_000;

/** Base of the alternative choosers: tracks the load of replicas from lagging reports only. */
abstract class LoadTrackingChooser implements ReplicaChooser {
  private replicas = new Map<UpstreamId, TrackedReplica>();

  public update(replicas: readonly ReplicaDescription[]): void {
    const previous = this.replicas;
    this.replicas = new Map(
      replicas.map(({ id }) => [
        id,
        previous.get(id) ?? { id, load: new ReplicaLoad(INITIAL_CALL_MILLISECONDS) },
      ]),
    );
  }

  public choose(
    request: PlacementRequest,
    now: number,
    hasCapacity: CapacityPredicate,
  ): Placement | undefined {
    const candidates = [...this.replicas.values()].filter(
      ({ id, load }) => load.suspectedUntil <= now && !request.excluded.has(id),
    );
    const replica = this.select(candidates, request, hasCapacity);
    return replica === undefined
      ? undefined
      : { expectedCachedTokens: 0, expectedMilliseconds: 0, replica: replica.id };
  }

  public recordDispatch(replica: UpstreamId, _prefixes: PrefixChain, now: number): void {
    this.replicas.get(replica)?.load.recordDispatch(now);
  }

  public recordOutcome({ durationMilliseconds, replica }: DispatchOutcome, now: number): void {
    this.replicas.get(replica)?.load.recordEnd(durationMilliseconds, now);
  }

  public observeLoad(replica: UpstreamId, report: LoadReport): void {
    this.replicas.get(replica)?.load.observe(report);
  }

  public observeCacheChange(): void {
    // Prefixes are not recorded.
  }

  public suspectUntil(replica: UpstreamId, until: number): void {
    const tracked = this.replicas.get(replica);
    if (tracked !== undefined) {
      tracked.load.suspectedUntil = until;
    }
  }

  protected abstract select(
    candidates: readonly TrackedReplica[],
    request: PlacementRequest,
    hasCapacity: CapacityPredicate,
  ): TrackedReplica | undefined;
}

/** Chooses the replica with the fewest calls according to the tracked load. */
export class LeastLoadedChooser extends LoadTrackingChooser {
  protected select(
    candidates: readonly TrackedReplica[],
    _request: PlacementRequest,
    hasCapacity: CapacityPredicate,
  ): TrackedReplica | undefined {
    let best: TrackedReplica | undefined;
    for (const candidate of candidates) {
      const hasFewerCalls = candidate.load.predictedCalls < (best?.load.predictedCalls ?? Infinity);
      if (hasFewerCalls && hasCapacity(candidate.id)) {
        best = candidate;
      }
    }
    return best;
  }
}

/** Maximum load of a replica relative to the average; at this load, the next in rank is tried. */
const MAXIMUM_RELATIVE_LOAD = 1.25;

/** Consistent hashing with bounded load; the key is the first prefix after the system prompt. */
export class ConsistentHashChooser extends LoadTrackingChooser {
  protected select(
    candidates: readonly TrackedReplica[],
    { prefixes }: PlacementRequest,
    hasCapacity: CapacityPredicate,
  ): TrackedReplica | undefined {
    const key = prefixes[1]?.digest ?? '';
    const totalCalls = candidates.reduce((sum, { load }) => sum + load.predictedCalls, 1);
    const maximumCalls = Math.ceil(
      (MAXIMUM_RELATIVE_LOAD * totalCalls) / Math.max(1, candidates.length),
    );
    const ranked = [...candidates].sort(
      (left, right) => hash32(`${key}/${left.id}`) - hash32(`${key}/${right.id}`),
    );
    return ranked.find(({ id, load }) => load.predictedCalls < maximumCalls && hasCapacity(id));
  }
}
