import type { AvailabilityZone, Region, TimerService, UpstreamId } from '@zincring/core';
import type { PromptExpectation } from '@zincring/scheduling';

import { LRUCache } from 'lru-cache';

import type { GatewayService } from '../configuration/gatewayConfiguration.js';
import type { PromptPart, RequestFacts } from '../callers/requestFacts.js';
import type { ReplicaCosts } from './load/replicaCosts.js';
import type { ReplicaEntry, ReplicaRunId, SoftwareVersion } from './replica.js';
import type { ReplicaDirectory } from './replicaDirectory.js';
import type { ReplicaLoads } from './replicaLoads.js';
import type { PlacementCandidate } from './replicaPlacement.js';

import { chooseEngine, choosePlainReplica } from './replicaPlacement.js';

/** Maximum number of conversations whose replica is remembered: an instance's share of several minutes of them. */
const MAXIMUM_REMEMBERED_CONVERSATIONS = 20_000;
/** Parts in the prompt of a conversation that is no sub-agent's: one that many share, and its own. */
const PARTS_OF_MAIN_LINE = 2;

/** Maximum share of the replicas of a service that are avoided at the same time. */
const MAXIMUM_AVOIDED_SHARE = 0.5;
/** Share of its even part of the requests that each slow replica gets to tell when it is well again. */
const TRICKLE_SHARE = 0.1;

/** Request for which a replica is chosen. */
export interface PoolRequest {
  readonly service: GatewayService;
  readonly facts: RequestFacts;
  readonly isSticky: boolean;
  /** Whether the request leaves the last places of each replica to others; it takes any by default. */
  readonly isSentAhead?: boolean;
  /** Version at which a stream goes on; `undefined` if any version may serve the request. */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** Regions whose replicas may get the request; all may if absent. */
  readonly permittedRegions?: ReadonlySet<Region> | undefined;
  /** Replica runs that were already tried for this request. */
  readonly excluded: ReadonlySet<ReplicaRunId>;
}

/** Last turn of a conversation. */
interface PreviousTurn {
  readonly replica: UpstreamId;
  readonly promptTokens: number;
}

/** Dependencies of a {@link ReplicaPool}. */
export interface ReplicaPoolDependencies {
  readonly directory: Pick<ReplicaDirectory, 'findReplicas' | 'listAll'>;
  readonly loads: ReplicaLoads;
  readonly costs: ReplicaCosts;
  readonly availabilityZone: AvailabilityZone;
  readonly timers: TimerService;
  /** Whether a request may be sent to an availability zone. */
  readonly isPermitted: (
    zone: AvailabilityZone,
    permittedRegions: ReadonlySet<Region> | undefined,
  ) => boolean;
  /**
   * Whether the engines have little room: turns then take longer everywhere, and moving conversations
   * away from their caches takes what room is left.
   */
  readonly areEnginesContended: () => boolean;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** Chooses among the registered replicas by what requests are expected to take there. */
export class ReplicaPool {
  public readonly loads: ReplicaLoads;
  public readonly costs: ReplicaCosts;
  private readonly previousTurns = new LRUCache<string, PreviousTurn>({
    max: MAXIMUM_REMEMBERED_CONVERSATIONS,
  });

  public constructor(private readonly dependencies: ReplicaPoolDependencies) {
    this.costs = dependencies.costs;
    this.loads = dependencies.loads;
  }

  /** Chooses the replica for a request; `undefined` if none is left. */
  public choose(poolRequest: PoolRequest): ReplicaEntry | undefined {
    const { facts, isSticky, service } = poolRequest;
    const candidates = this.findCandidates(poolRequest);
    const trickle = this.chooseTrickle(candidates);
    if (trickle !== undefined) {
      return trickle;
    }
    const conversation = findConversation(facts);
    const request = {
      affinity: service.engine === undefined ? chooseAffinity(facts, isSticky) : conversation,
      availabilityZone: this.dependencies.availabilityZone,
      costs: this.costs.estimate(service.name),
      previousReplica:
        conversation === undefined ? undefined : this.previousTurns.get(conversation)?.replica,
      promptParts: facts.promptParts,
    };
    return service.engine === undefined
      ? choosePlainReplica(candidates, request, this.dependencies.random)
      : chooseEngine(candidates, request);
  }

  /** Remembers the replica that runs a turn of a conversation, since its prefix cache contains the prompt. */
  public recordReplica(facts: RequestFacts, entry: ReplicaEntry): void {
    const conversation = findConversation(facts);
    if (conversation === undefined || facts.promptParts.length === 0) {
      return;
    }
    // A sub-agent that was sent elsewhere has only a part of the conversation there.
    const isMainLine = facts.promptParts.length <= PARTS_OF_MAIN_LINE;
    if (isMainLine || !this.previousTurns.has(conversation)) {
      const promptTokens = countTokens(facts.promptParts);
      this.previousTurns.set(conversation, { promptTokens, replica: entry.id });
    }
  }

  /** Tells how much of a prompt a replica is expected to compute; `undefined` for requests without one. */
  public expectPrompt(facts: RequestFacts, entry: ReplicaEntry): PromptExpectation | undefined {
    const promptTokens = countTokens(facts.promptParts);
    if (promptTokens === 0) {
      return undefined;
    }
    const conversation = findConversation(facts);
    const previous = conversation === undefined ? undefined : this.previousTurns.get(conversation);
    const cachedTokens = previous?.replica === entry.id ? previous.promptTokens : 0;
    return { promptTokens, uncachedTokens: Math.max(0, promptTokens - cachedTokens) };
  }

  /** Closes the connections to replicas that are no longer registered, and forgets what they cost. */
  public sweep(): void {
    const runs = new Set(this.dependencies.directory.listAll().map(entry => entry.runId));
    this.loads.retain(runs);
    this.costs.retain(runs);
  }

  /** Now and then chooses a slow replica, since only what it is sent tells when it is well again. */
  private chooseTrickle(candidates: readonly PoolCandidate[]): ReplicaEntry | undefined {
    if (!candidates.some(({ isSlow }) => isSlow)) {
      return undefined;
    }
    const slow = candidates.filter(({ isAvoided, isSlow }) => isSlow && !isAvoided);
    const point = (this.dependencies.random() * candidates.length) / TRICKLE_SHARE;
    return slow[Math.floor(point)]?.entry;
  }

  private findCandidates(poolRequest: PoolRequest): readonly PoolCandidate[] {
    const { areEnginesContended, directory, isPermitted, timers } = this.dependencies;
    const now = timers.now();
    const mayMove = poolRequest.service.engine === undefined || !areEnginesContended();
    const isUneven = mayMove && this.costs.isUneven(now);
    const candidates: PoolCandidate[] = [];
    const counts = { all: 0, avoided: 0, slow: 0 };
    const { permittedRegions, service } = poolRequest;
    for (const entry of directory.findReplicas(service.name)) {
      if (
        entry.isDraining ||
        this.loads.isLeaving(entry) ||
        !isPermitted(entry.availabilityZone, permittedRegions)
      ) {
        continue;
      }
      const { avoidedUntil, inFlight } = this.loads.findOrAddState(entry);
      const run = isUneven ? this.costs.findSlowness(entry) : undefined;
      const isAvoided = avoidedUntil > now;
      const isSlow = run?.isSlow ?? false;
      counts.all++;
      counts.avoided += isAvoided ? 1 : 0;
      counts.slow += isSlow ? 1 : 0;
      const isKeptFree = poolRequest.isSentAhead === true && this.loads.isNearlyFull(entry);
      if (!isKeptFree && !isLeftOut(entry, poolRequest)) {
        candidates.push({ entry, inFlight, isAvoided, isSlow, slowness: run?.estimate(now) ?? 1 });
      }
    }
    limitAvoided(candidates, counts);
    return candidates;
  }
}

/** A candidate and what was judged of it. */
interface PoolCandidate extends PlacementCandidate {
  isAvoided: boolean;
  slowness: number;
  readonly isSlow: boolean;
}

function isLeftOut(entry: ReplicaEntry, { excluded, softwareVersion }: PoolRequest): boolean {
  return (
    excluded.has(entry.runId) ||
    (softwareVersion !== undefined && entry.softwareVersion !== softwareVersion)
  );
}

/** If most replicas fail or are slow, the cause is elsewhere, and avoiding them would overload the others. */
function limitAvoided(
  candidates: readonly PoolCandidate[],
  counts: { readonly all: number; readonly avoided: number; readonly slow: number },
): void {
  const maximum = counts.all * MAXIMUM_AVOIDED_SHARE;
  if (counts.avoided <= maximum && counts.slow <= maximum) {
    return;
  }
  for (const candidate of candidates) {
    candidate.isAvoided &&= counts.avoided <= maximum;
    candidate.slowness = counts.slow <= maximum ? candidate.slowness : 1;
  }
}

/**
 * Finds the conversation that a turn belongs to: the part of the prompt after the one that many share.
 * The prompts of sub-agents begin with that of their parent, so they belong to its conversation.
 */
function findConversation({ promptParts, sessionId }: RequestFacts): string | undefined {
  return promptParts[1]?.id ?? sessionId;
}

function countTokens(promptParts: readonly PromptPart[]): number {
  let tokens = 0;
  for (const part of promptParts) {
    tokens += part.tokens;
  }
  return tokens;
}

function chooseAffinity(facts: RequestFacts, isSticky: boolean): string | undefined {
  return isSticky ? facts.affinityKey : undefined;
}
