import type { AvailabilityZone, Region, UpstreamId } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { GatewayService } from '../configuration/gatewayConfiguration.js';
import type { RequestFacts } from '../callers/requestFacts.js';
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

/** Request for which a replica is chosen. */
export interface PoolRequest {
  readonly service: GatewayService;
  readonly facts: RequestFacts;
  readonly isSticky: boolean;
  /** Version at which a stream goes on; `undefined` if any version may serve the request. */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** Regions whose replicas may get the request; all may if absent. */
  readonly permittedRegions?: ReadonlySet<Region> | undefined;
  /** Replica runs that were already tried for this request. */
  readonly excluded: ReadonlySet<ReplicaRunId>;
}

/** Chooses among the registered replicas by the load that this instance puts on them. */
export class ReplicaPool {
  private readonly previousReplicas = new LRUCache<string, UpstreamId>({
    max: MAXIMUM_REMEMBERED_CONVERSATIONS,
  });

  public constructor(
    private readonly directory: ReplicaDirectory,
    public readonly loads: ReplicaLoads,
    private readonly availabilityZone: AvailabilityZone,
    private readonly random: () => number,
    /** Whether a request may be sent to an availability zone. */
    private readonly isPermitted: (
      zone: AvailabilityZone,
      permittedRegions: ReadonlySet<Region> | undefined,
    ) => boolean,
  ) {}

  /** Chooses the replica for a request; `undefined` if none is left. */
  public choose(poolRequest: PoolRequest): ReplicaEntry | undefined {
    const { facts, isSticky, service } = poolRequest;
    const candidates = this.findCandidates(poolRequest);
    const conversation = findConversation(facts);
    const request = {
      affinity: service.engine === undefined ? chooseAffinity(facts, isSticky) : conversation,
      availabilityZone: this.availabilityZone,
      previousReplica:
        conversation === undefined ? undefined : this.previousReplicas.get(conversation),
      promptParts: facts.promptParts,
    };
    return service.engine === undefined
      ? choosePlainReplica(candidates, request, this.random)
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
    if (isMainLine || !this.previousReplicas.has(conversation)) {
      this.previousReplicas.set(conversation, entry.id);
    }
  }

  /** Closes the connections to replicas that are no longer registered. */
  public sweep(): void {
    this.loads.retain(new Set(this.directory.listAll().map(entry => entry.runId)));
  }

  private findCandidates({
    permittedRegions,
    excluded,
    service,
    softwareVersion,
  }: PoolRequest): readonly PlacementCandidate[] {
    const candidates = this.directory
      .findReplicas(service.name)
      .filter(
        entry =>
          !entry.isDraining &&
          !this.loads.isLeaving(entry) &&
          this.isPermitted(entry.availabilityZone, permittedRegions),
      )
      .map(entry => ({
        entry,
        inFlight: this.loads.findOrAddState(entry).inFlight,
        isAvoided: this.loads.isAvoided(entry),
      }));
    const avoidedCount = candidates.filter(({ isAvoided }) => isAvoided).length;
    // If most replicas fail, the cause is elsewhere, and avoiding them would overload the others.
    const mayAvoid = avoidedCount <= candidates.length * MAXIMUM_AVOIDED_SHARE;
    return candidates
      .filter(
        ({ entry }) =>
          !excluded.has(entry.runId) &&
          (softwareVersion === undefined || entry.softwareVersion === softwareVersion),
      )
      .map(candidate => ({ ...candidate, isAvoided: mayAvoid && candidate.isAvoided }));
  }
}

/**
 * Finds the conversation that a turn belongs to: the part of the prompt after the one that many share.
 * The prompts of sub-agents begin with that of their parent, so they belong to its conversation.
 */
function findConversation({ promptParts, sessionId }: RequestFacts): string | undefined {
  return promptParts[1]?.id ?? sessionId;
}

function chooseAffinity(facts: RequestFacts, isSticky: boolean): string | undefined {
  return isSticky ? facts.affinityKey : undefined;
}
