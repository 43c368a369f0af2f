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

const FIRST_CALL_MILLISECONDS = 4_000;

/** What the rival choosers have in common: replicas with their lagging load, and no prefixes. */
abstract class TrackedChooser implements ReplicaChooser {
  private replicas = new Map<UpstreamId, TrackedReplica>();

  public update(replicas: readonly ReplicaDescription[]): void {
    const known = this.replicas;
    this.replicas = new Map(
      replicas.map(({ id }) => [
        id,
        known.get(id) ?? { id, load: new ReplicaLoad(FIRST_CALL_MILLISECONDS) },
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
    // No record of prefixes is kept.
  }

  public suspectUntil(replica: UpstreamId, until: number): void {
    const known = this.replicas.get(replica);
    if (known !== undefined) {
      known.load.suspectedUntil = until;
    }
  }

  protected abstract select(
    candidates: readonly TrackedReplica[],
    request: PlacementRequest,
    hasCapacity: CapacityPredicate,
  ): TrackedReplica | undefined;
}

/** Takes the replica with the fewest calls, as far as it is known. */
export class LeastLoadedChooser extends TrackedChooser {
  protected select(
    candidates: readonly TrackedReplica[],
    _request: PlacementRequest,
    hasCapacity: CapacityPredicate,
  ): TrackedReplica | undefined {
    let best: TrackedReplica | undefined;
    for (const candidate of candidates) {
      const isLess = candidate.load.predictedCalls < (best?.load.predictedCalls ?? Infinity);
      if (isLess && hasCapacity(candidate.id)) {
        best = candidate;
      }
    }
    return best;
  }
}

/** Calls above the average that a replica may have before the next one in the ring is taken. */
const LOAD_BOUND = 1.25;

/** Consistent hashing of programs, by their first own prefix, with bounded load. */
export class ConsistentHashChooser extends TrackedChooser {
  protected select(
    candidates: readonly TrackedReplica[],
    { prefixes }: PlacementRequest,
    hasCapacity: CapacityPredicate,
  ): TrackedReplica | undefined {
    const key = prefixes[1]?.digest ?? '';
    const total = candidates.reduce((sum, { load }) => sum + load.predictedCalls, 1);
    const bound = Math.ceil((LOAD_BOUND * total) / Math.max(1, candidates.length));
    const ranked = [...candidates].sort(
      (left, right) => hash32(`${key}/${left.id}`) - hash32(`${key}/${right.id}`),
    );
    return ranked.find(({ id, load }) => load.predictedCalls < bound && hasCapacity(id));
  }
}
