import type { AvailabilityZone, UpstreamId } from '@zincring/core';
import type { CostEstimate } from '@zincring/scheduling';

import { hash32 } from '@zincring/core';
import { expectTurnMilliseconds, scoreRendezvous } from '@zincring/scheduling';

import type { PromptPart } from '../callers/requestFacts.js';
import type { ReplicaEntry } from './replica.js';

/** A replica that a request may be sent to, with its load as observed by this instance. */
export interface PlacementCandidate {
  readonly entry: ReplicaEntry;
  /** Requests of this instance in flight at the replica. */
  readonly inFlight: number;
  /** Whether the replica failed recently and should be avoided. */
  readonly isAvoided: boolean;
  /** Factor on the time that it takes, as learned; 1 for a usual replica. */
  readonly slowness: number;
}

/** Properties of a request that determine the choice of a replica. */
export interface PlacementRequest {
  readonly availabilityZone: AvailabilityZone;
  /** Parts of the prompt for engines; empty for plain services. */
  readonly promptParts: readonly PromptPart[];
  /** Key by which related requests are sent to the same replica: that of a session or an object. */
  readonly affinity: string | undefined;
  /** Replica that ran the previous turn of the session; `undefined` if this instance does not know it. */
  readonly previousReplica: UpstreamId | undefined;
  /** What turns and calls of the service take at present. */
  readonly costs: CostEstimate;
}

/** Slots of a common replica of a plain service. */
const COMMON_PLAIN_SLOTS = 6;
/** Gain at a replica that has handled the object before, as a share of a usual call. */
const AFFINITY_GAIN_SHARE = 0.625;
/** Cost of a replica in another availability zone, in milliseconds: one round trip. */
const CROSS_ZONE_COST_MILLISECONDS = 2;
/** Cost of a replica that failed recently, in milliseconds: higher than any other cost. */
const AVOIDED_COST_MILLISECONDS = 100_000;

/**
 * Chooses the engine with the lowest estimated completion time of a turn: prefill of the prompt
 * tokens that are not in its prefix cache, sharing of the batch, and queueing. Sessions have many
 * turns with growing prompts; rendezvous hashing, with the same result on every instance, sends all
 * turns of a session to the same cache unless that engine is so busy that a prefill of the complete
 * prompt at another one is faster.
 *
 * @example
 * chooseEngine(candidates, { affinity: sessionId, availabilityZone, previousReplica, promptParts });
 */
export function chooseEngine(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
): ReplicaEntry | undefined {
  const preferredReplica = findPreferredReplica(candidates, request);
  const promptTokens = request.promptParts.reduce((sum, part) => sum + part.tokens, 0);
  const { affinity, costs } = request;
  return findCheapest(
    candidates,
    candidate => {
      const { entry, inFlight, slowness } = candidate;
      const uncachedTokens = entry.id === preferredReplica ? 0 : promptTokens;
      return (
        expectTurnMilliseconds(costs, {
          inFlight,
          slots: entry.slots,
          slowness,
          uncachedTokens,
        }) + computeCommonCost(candidate, request)
      );
    },
    // Sessions whose engine is busy or slow are spread over the others, in the same way by every instance.
    affinity === undefined ? 0 : hash32(affinity),
  );
}

/**
 * Chooses the least busy replica of a plain service, preferring replicas of the same availability
 * zone and the one that has handled the object before. Calls are short, a replica runs several at a
 * time, and one instance sees only few of them.
 *
 * @example
 * choosePlainReplica(candidates, request, Math.random);
 */
export function choosePlainReplica(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: () => number,
): ReplicaEntry | undefined {
  const preferredReplica =
    request.affinity === undefined ? undefined : findPreferredReplica(candidates, request);
  const { callMilliseconds } = request.costs;
  return findCheapest(candidates, candidate => {
    const { entry, inFlight, slowness } = candidate;
    const requestsAtOnce = Math.max(1, entry.slots / COMMON_PLAIN_SLOTS);
    return (
      callMilliseconds * (1 + inFlight / requestsAtOnce) * slowness +
      (entry.id === preferredReplica ? -callMilliseconds * AFFINITY_GAIN_SHARE : 0) +
      random() +
      computeCommonCost(candidate, request)
    );
  });
}

function computeCommonCost(candidate: PlacementCandidate, request: PlacementRequest): number {
  const { entry, isAvoided } = candidate;
  return (
    (isAvoided ? AVOIDED_COST_MILLISECONDS : 0) +
    (entry.availabilityZone === request.availabilityZone ? 0 : CROSS_ZONE_COST_MILLISECONDS) +
    Math.min(entry.coldMilliseconds, AVOIDED_COST_MILLISECONDS) / 100
  );
}

function findPreferredReplica(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
): UpstreamId | undefined {
  if (candidates.some(({ entry }) => entry.id === request.previousReplica)) {
    return request.previousReplica;
  }
  const affinity = request.affinity;
  if (affinity === undefined) {
    return undefined;
  }
  return findCheapest(candidates, ({ entry, isAvoided, slowness }) =>
    isAvoided ? Infinity : scoreRendezvous(hash32(`${affinity}\n${entry.id}`), slowness),
  )?.id;
}

/** Finds the candidate of the least cost; of several the first from an offset on. */
function findCheapest(
  candidates: readonly PlacementCandidate[],
  computeCost: (candidate: PlacementCandidate) => number,
  offset = 0,
): ReplicaEntry | undefined {
  let best: ReplicaEntry | undefined;
  let bestCost = Infinity;
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[(index + offset) % candidates.length];
    const cost = candidate === undefined ? Infinity : computeCost(candidate);
    if (candidate !== undefined && cost < bestCost) {
      best = candidate.entry;
      bestCost = cost;
    }
  }
  return best;
}
