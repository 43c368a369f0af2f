import type { Logger, TimerService, UpstreamId } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { GatewayMetrics } from '../../observation/gatewayMetrics.js';
import type { OwnerSelector } from '../../peers/ownerSelector.js';
import type { ReplicaEntry, ReplicaRunId } from '../replica.js';
import type { RateObservation } from './announcedRate.js';
import type { ColdReplicas } from './coldReplicas.js';
import type { PermitOwner, PermitReply } from './permitOwner.js';
import type { ScheduledPermit } from './permitSchedule.js';

import { toAnnouncedRate, toObservation } from './announcedRate.js';
import { COLD_BURST_MILLISECONDS } from './coldReplicas.js';

/** Dependencies of {@link ReplicaPermits}. */
export interface ReplicaPermitsDependencies {
  readonly coldReplicas: ColdReplicas;
  /** Permits that this instance owns. */
  readonly local: PermitOwner;
  readonly owners: OwnerSelector;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** What this instance knows of a limit of a replica. */
interface Limit {
  /** Key of the owner, and of the schedule that it keeps. */
  readonly key: ReplicaRunId;
  /** Unused time that permits may make up for at once, in milliseconds; that of the owner if `undefined`. */
  readonly burstMilliseconds: number | undefined;
  observation: RateObservation;
  /** Time before which the owner has no further permit, on the monotonic clock, in milliseconds. */
  deniedUntil: number;
}

/** Maximum number of replicas whose rate is remembered. */
const MAXIMUM_REPLICAS = 1_000;
/** Number of owners that are asked for one permit. */
const MAXIMUM_OWNERS = 2;
/** Time after which a replica whose owners do not respond is asked for again, in milliseconds: about one timeout of a call. */
const OWNERLESS_RETRY_MILLISECONDS = 150;
/** Prefix of the keys by which owners keep the permits of cold replicas. */
const COLD_KEY_PREFIX = 'cold/';
const NO_LIMITS: readonly Limit[] = [];

/**
 * Obtains permits for requests to replicas that announced a rate or are cold. The permits of a replica are granted
 * by the instance that owns it, so the rate holds for all instances together, however few requests each of
 * them sends. The two limits have owners and schedules of their own, since they begin and end apart.
 *
 * @example
 * permits.record(entry, 2.5);
 * await permits.acquire(entry, 0); // { delayMilliseconds: 0, kind: 'granted' }
 */
export class ReplicaPermits {
  // Kept beyond the registration, which may lapse and return while the replica goes on.
  private readonly limitedReplicas = new LRUCache<ReplicaRunId, Limit>({ max: MAXIMUM_REPLICAS });
  private readonly coldLimits = new LRUCache<ReplicaRunId, Limit>({ max: MAXIMUM_REPLICAS });

  public constructor(private readonly dependencies: ReplicaPermitsDependencies) {}

  /** Records the rate that a response announced, in requests per second; `undefined` if it announced none. */
  public record(entry: ReplicaEntry, requestsPerSecond: number | undefined): void {
    const known = this.limitedReplicas.get(entry.runId);
    if (known === undefined && requestsPerSecond === undefined) {
      return;
    }
    const observation = { observedAt: this.dependencies.timers.now(), requestsPerSecond };
    this.update(entry, observation);
    if (requestsPerSecond === undefined) {
      void this.reportEnd(entry, observation);
    }
  }

  /** Whether a replica accepts only a limited rate, as far as this instance knows. */
  public isLimited(entry: ReplicaEntry): boolean {
    return this.listLimits(entry).length > 0;
  }

  /** Time until the next permit for a replica, as far as this instance knows, in milliseconds. */
  public expectedDelayMilliseconds(entry: ReplicaEntry): number {
    const now = this.dependencies.timers.now();
    return Math.max(0, ...this.listLimits(entry).map(({ deniedUntil }) => deniedUntil - now));
  }

  /** Acquires a permit that is free within the maximum wait, in milliseconds. */
  public async acquire(
    entry: ReplicaEntry,
    maximumWaitMilliseconds: number,
  ): Promise<ScheduledPermit> {
    const expectedDelay = this.expectedDelayMilliseconds(entry);
    if (expectedDelay > maximumWaitMilliseconds) {
      return { kind: 'denied', retryAfterMilliseconds: expectedDelay };
    }
    let delayMilliseconds = 0;
    for (const limit of this.listLimits(entry)) {
      const permit = await this.acquireWithin(entry, limit, maximumWaitMilliseconds);
      if (permit.kind === 'denied') {
        return permit;
      }
      delayMilliseconds = Math.max(delayMilliseconds, permit.delayMilliseconds);
    }
    return { delayMilliseconds, kind: 'granted' };
  }

  private listLimits(entry: ReplicaEntry): readonly Limit[] {
    const announced = this.limitedReplicas.get(entry.runId);
    const coldRate = this.dependencies.coldReplicas.findRate(entry);
    if (coldRate === undefined) {
      return announced === undefined ? NO_LIMITS : [announced];
    }
    const cold = this.findColdLimit(entry, coldRate);
    return announced === undefined ? [cold] : [cold, announced];
  }

  private findColdLimit({ runId }: ReplicaEntry, requestsPerSecond: number): Limit {
    const known = this.coldLimits.get(runId);
    const observation = { observedAt: this.dependencies.timers.now(), requestsPerSecond };
    if (known !== undefined) {
      known.observation = observation;
      return known;
    }
    const limit: Limit = {
      burstMilliseconds: COLD_BURST_MILLISECONDS,
      deniedUntil: -Infinity,
      key: `${COLD_KEY_PREFIX}${runId}` as ReplicaRunId,
      observation,
    };
    this.coldLimits.set(runId, limit);
    return limit;
  }

  private async acquireWithin(
    entry: ReplicaEntry,
    limit: Limit,
    maximumWaitMilliseconds: number,
  ): Promise<ScheduledPermit> {
    const reply = await this.askOwners(limit, maximumWaitMilliseconds);
    this.dependencies.metrics.permits.inc({ outcome: reply.kind });
    const now = this.dependencies.timers.now();
    if (reply.kind === 'unreachable') {
      limit.deniedUntil = now + OWNERLESS_RETRY_MILLISECONDS;
      return { kind: 'denied', retryAfterMilliseconds: OWNERLESS_RETRY_MILLISECONDS };
    }
    if (limit.key === entry.runId) {
      this.update(entry, toObservation(reply.announced, now));
    }
    if (reply.kind === 'denied') {
      limit.deniedUntil = now + reply.retryAfterMilliseconds;
    }
    return reply;
  }

  private async askOwners(
    { burstMilliseconds, key, observation }: Limit,
    maximumWaitMilliseconds: number,
  ): Promise<PermitReply> {
    const { local, owners, timers } = this.dependencies;
    const request = {
      announced: toAnnouncedRate(observation, timers.now()),
      burstMilliseconds,
      maximumWaitMilliseconds,
      replica: key,
    };
    for (let asked = 0; asked < MAXIMUM_OWNERS; asked++) {
      const owner = owners.choose(key);
      if (owner === undefined) {
        return await local.acquirePermit(request);
      }
      const reply = await owner.peer.acquirePermit(request);
      if (reply.kind !== 'unreachable') {
        owners.recordSuccess(owner);
        return reply;
      }
      owners.recordFailure(owner, reply.kind);
    }
    return { kind: 'unreachable' };
  }

  /** Tells the owner that a replica accepts any rate again, since the owner itself may not send requests to it. */
  private async reportEnd({ runId }: ReplicaEntry, observation: RateObservation): Promise<void> {
    const { local, owners, timers } = this.dependencies;
    const owner = owners.choose(runId)?.peer ?? local;
    await owner.reportRate({
      announced: toAnnouncedRate(observation, timers.now()),
      replica: runId,
    });
  }

  private update({ id, runId }: ReplicaEntry, observation: RateObservation): void {
    const known = this.limitedReplicas.get(runId);
    if (known !== undefined && observation.observedAt <= known.observation.observedAt) {
      return;
    }
    if (known?.observation.requestsPerSecond !== observation.requestsPerSecond) {
      this.logChange(id, known?.observation.requestsPerSecond, observation.requestsPerSecond);
    }
    if (observation.requestsPerSecond === undefined) {
      this.limitedReplicas.delete(runId);
    } else if (known === undefined) {
      this.limitedReplicas.set(runId, {
        burstMilliseconds: undefined,
        deniedUntil: -Infinity,
        key: runId,
        observation,
      });
    } else {
      known.observation = observation;
    }
  }

  private logChange(
    replica: UpstreamId,
    previous: number | undefined,
    requestsPerSecond: number | undefined,
  ): void {
    this.dependencies.logger.info(
      { event: 'replica-rate', previous, replica, requestsPerSecond },
      'the rate that a replica accepts changed',
    );
  }
}
