import type { AvailabilityZone, UpstreamId } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { GatewayService } from '../configuration/gatewayConfiguration.js';
import type { RequestFacts, SessionId } from '../callers/requestFacts.js';
import type { ReplicaEntry, ReplicaRunId } from './replica.js';
import type { ReplicaDirectory } from './replicaDirectory.js';
import type { ReplicaLoads } from './replicaLoads.js';
import type { PlacementCandidate } from './replicaPlacement.js';

import { placeAtEngine, placeAtPlainService } from './replicaPlacement.js';

/** Sessions whose replica is remembered: several minutes of an instance's share of the sessions. */
const REMEMBERED_SESSIONS = 20_000;

/** Part of the replicas of a service that may be left alone at the same time. */
const MAXIMUM_AVOIDED_SHARE = 0.5;

/** What a choice is made for. */
export interface PoolRequest {
  readonly service: GatewayService;
  readonly facts: RequestFacts;
  readonly isSticky: boolean;
  /** Replicas that have had this request. */
  readonly excluded: ReadonlySet<ReplicaRunId>;
}

/** Registered replicas with the load that this instance puts on them. */
export class ReplicaPool {
  private readonly homes = new LRUCache<SessionId, UpstreamId>({ max: REMEMBERED_SESSIONS });

  public constructor(
    private readonly directory: ReplicaDirectory,
    public readonly loads: ReplicaLoads,
    private readonly availabilityZone: AvailabilityZone,
    private readonly random: () => number,
  ) {}

  /** The replica for a request; `undefined` when none is left. */
  public choose({ excluded, facts, isSticky, service }: PoolRequest): ReplicaEntry | undefined {
    const candidates = this.candidatesOf(service, excluded);
    const request = {
      affinity: service.engine === undefined ? affinityOf(facts, isSticky) : facts.sessionId,
      availabilityZone: this.availabilityZone,
      home: facts.sessionId === undefined ? undefined : this.homes.get(facts.sessionId),
      promptParts: facts.promptParts,
    };
    return service.engine === undefined
      ? placeAtPlainService(candidates, request, this.random)
      : placeAtEngine(candidates, request);
  }

  /** Remembers where a session's turn runs, since that replica's cache holds its prompt. */
  public noteHome(facts: RequestFacts, entry: ReplicaEntry): void {
    if (facts.sessionId !== undefined && facts.promptParts.length > 0) {
      this.homes.set(facts.sessionId, entry.id);
    }
  }

  /** Forgets the connections to replicas that have left. */
  public sweep(): void {
    this.loads.retain(new Set(this.directory.all().map(entry => entry.runId)));
  }

  private candidatesOf(
    service: GatewayService,
    excluded: ReadonlySet<ReplicaRunId>,
  ): readonly PlacementCandidate[] {
    const candidates = this.directory
      .replicasOf(service.name)
      .filter(entry => !entry.isDraining)
      .map(entry => ({
        entry,
        inFlight: this.loads.of(entry).inFlight,
        isAvoided: this.loads.isAvoided(entry),
      }));
    const avoided = candidates.filter(({ isAvoided }) => isAvoided).length;
    // When most replicas fail, the cause lies elsewhere, and the rest would be overrun.
    const isAvoiding = avoided <= candidates.length * MAXIMUM_AVOIDED_SHARE;
    return candidates
      .filter(({ entry }) => !excluded.has(entry.runId))
      .map(candidate => ({ ...candidate, isAvoided: isAvoiding && candidate.isAvoided }));
  }
}

function affinityOf(facts: RequestFacts, isSticky: boolean): string | undefined {
  return isSticky ? facts.affinityKey : undefined;
}
