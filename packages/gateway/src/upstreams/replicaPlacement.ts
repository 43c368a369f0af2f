import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import { hash32 } from '@zincring/core';

import type { PromptPart } from '../callers/requestFacts.js';
import type { ReplicaEntry } from './replica.js';

/** A replica that a request may be sent to, with its load as observed by this instance. */
export interface PlacementCandidate {
  readonly entry: ReplicaEntry;
  /** Requests of this instance in flight at the replica. */
  readonly inFlight: number;
  /** Whether the replica failed recently and should be avoided. */
  readonly isAvoided: boolean;
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
}

/** Prefill time of an engine per prompt token, in milliseconds: from the data sheet of the engines. */
const PREFILL_MILLISECONDS_PER_TOKEN = 1 / 147;
/** Time that each further request of a batch adds to a turn of usual length, in milliseconds: from the data sheet of the engines. */
const BATCH_COST_MILLISECONDS_PER_REQUEST = 15;
/** Cost of each queued request at an engine whose batch is full, in milliseconds: about one turn. */
const QUEUE_COST_MILLISECONDS_PER_REQUEST = 350;
/** Cost of a request in flight at a plain service, in milliseconds: about one call. */
const PLAIN_COST_MILLISECONDS_PER_REQUEST = 40;
/** Gain at a replica that has handled the object before, in milliseconds: half of a usual call. */
const AFFINITY_GAIN_MILLISECONDS = 25;
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
  return findCheapest(candidates, candidate => {
    const { entry, inFlight } = candidate;
    const queuedRequests = Math.max(0, inFlight + 1 - entry.slots);
    const uncachedTokens = entry.id === preferredReplica ? 0 : promptTokens;
    return (
      uncachedTokens * PREFILL_MILLISECONDS_PER_TOKEN +
      inFlight * BATCH_COST_MILLISECONDS_PER_REQUEST +
      queuedRequests * QUEUE_COST_MILLISECONDS_PER_REQUEST +
      computeCommonCost(candidate, request)
    );
  });
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
  return findCheapest(candidates, candidate => {
    const { entry, inFlight } = candidate;
    return (
      inFlight * (PLAIN_COST_MILLISECONDS_PER_REQUEST / Math.max(1, entry.slots / 6)) +
      (entry.id === preferredReplica ? -AFFINITY_GAIN_MILLISECONDS : 0) +
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
  const usable = candidates.filter(({ isAvoided }) => !isAvoided);
  return findCheapest(usable, ({ entry }) => hash32(`${affinity}\n${entry.id}`))?.id;
}

function findCheapest(
  candidates: readonly PlacementCandidate[],
  computeCost: (candidate: PlacementCandidate) => number,
): ReplicaEntry | undefined {
  let best: ReplicaEntry | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = computeCost(candidate);
    if (cost < bestCost) {
      best = candidate.entry;
      bestCost = cost;
    }
  }
  return best;
}
