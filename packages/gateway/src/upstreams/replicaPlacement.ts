import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import { hash32 } from '@zincring/core';

import type { PromptPart } from '../callers/requestFacts.js';
import type { ReplicaEntry } from './replica.js';

/** A replica that may get a request, with what is known of its load. */
export interface PlacementCandidate {
  readonly entry: ReplicaEntry;
  /** Requests of this instance that it runs now. */
  readonly inFlight: number;
  /** Whether it failed of late. */
  readonly isAvoided: boolean;
}

/** What the choice depends on. */
export interface PlacementRequest {
  readonly availabilityZone: AvailabilityZone;
  /** Parts of the prompt, for engines; empty for plain services. */
  readonly promptParts: readonly PromptPart[];
  /** What keeps related requests together: a session, or an object. */
  readonly affinity: string | undefined;
  /** Replica that ran the session's last turn, when this instance knows. */
  readonly home: UpstreamId | undefined;
}

/** Time that an engine needs to read one token of a prompt, in milliseconds: from the engines' data sheet. */
const READ_MILLISECONDS_PER_TOKEN = 1 / 147;
/** Time that each further request of a batch adds to a turn of usual length, in milliseconds: from the engines' data sheet. */
const BATCH_MILLISECONDS_PER_REQUEST = 15;
/** Cost of a queue place at an engine whose batch is full, in milliseconds: about one turn. */
const QUEUE_MILLISECONDS_PER_REQUEST = 350;
/** Cost of a request in flight at a plain service, in milliseconds: about one call. */
const PLAIN_MILLISECONDS_PER_REQUEST = 40;
/** Gain at a replica that handled the object before, in milliseconds: half of a usual call. */
const AFFINITY_MILLISECONDS = 25;
/** Cost of leaving the availability zone, in milliseconds: a round trip. */
const ZONE_MILLISECONDS = 2;
/** Cost of a replica that failed of late, in milliseconds: above any other. */
const AVOIDED_MILLISECONDS = 100_000;

/**
 * Chooses the engine at which a turn ends first: reading what its cache lacks of the prompt, and
 * sharing the batch. It answers sessions of many turns whose prompts grow: all turns of a session
 * meet the same cache, by rendezvous hashing on every instance alike, unless that engine is so
 * busy that reading the prompt again elsewhere is quicker.
 *
 * @example
 * placeAtEngine(candidates, { affinity: sessionId, availabilityZone, home, promptParts });
 */
export function placeAtEngine(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
): ReplicaEntry | undefined {
  const home = findHome(candidates, request);
  const promptTokens = request.promptParts.reduce((sum, part) => sum + part.tokens, 0);
  return cheapest(candidates, candidate => {
    const { entry, inFlight } = candidate;
    const queued = Math.max(0, inFlight + 1 - entry.slots);
    const unread = entry.id === home ? 0 : promptTokens;
    return (
      unread * READ_MILLISECONDS_PER_TOKEN +
      inFlight * BATCH_MILLISECONDS_PER_REQUEST +
      queued * QUEUE_MILLISECONDS_PER_REQUEST +
      commonCost(candidate, request)
    );
  });
}

/**
 * Chooses the least busy replica of a plain service, near ones and those that know the object
 * first. It answers short calls, several at a time, of which an instance sees few.
 *
 * @example
 * placeAtPlainService(candidates, { affinity: objectId, availabilityZone, home, promptParts: [] });
 */
export function placeAtPlainService(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: () => number,
): ReplicaEntry | undefined {
  const home = request.affinity === undefined ? undefined : findHome(candidates, request);
  return cheapest(candidates, candidate => {
    const { entry, inFlight } = candidate;
    return (
      inFlight * (PLAIN_MILLISECONDS_PER_REQUEST / Math.max(1, entry.slots / 6)) +
      (entry.id === home ? -AFFINITY_MILLISECONDS : 0) +
      random() +
      commonCost(candidate, request)
    );
  });
}

function commonCost(candidate: PlacementCandidate, request: PlacementRequest): number {
  const { entry, isAvoided } = candidate;
  return (
    (isAvoided ? AVOIDED_MILLISECONDS : 0) +
    (entry.availabilityZone === request.availabilityZone ? 0 : ZONE_MILLISECONDS) +
    Math.min(entry.coldMilliseconds, AVOIDED_MILLISECONDS) / 100
  );
}

function findHome(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
): UpstreamId | undefined {
  if (candidates.some(({ entry }) => entry.id === request.home)) {
    return request.home;
  }
  const affinity = request.affinity;
  if (affinity === undefined) {
    return undefined;
  }
  const usable = candidates.filter(({ isAvoided }) => !isAvoided);
  return cheapest(usable, ({ entry }) => hash32(`${affinity}\n${entry.id}`))?.id;
}

function cheapest(
  candidates: readonly PlacementCandidate[],
  costOf: (candidate: PlacementCandidate) => number,
): ReplicaEntry | undefined {
  let best: ReplicaEntry | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(candidate);
    if (cost < bestCost) {
      best = candidate.entry;
      bestCost = cost;
    }
  }
  return best;
}
