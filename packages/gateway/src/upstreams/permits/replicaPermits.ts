import type { Logger, TimerService, UpstreamId } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { GatewayMetrics } from '../../observation/gatewayMetrics.js';
import type { OwnerSelector } from '../../peers/ownerSelector.js';
import type { ReplicaEntry, ReplicaRunId } from '../replica.js';
import type { RateObservation } from './announcedRate.js';
import type { PermitOwner, PermitReply } from './permitOwner.js';
import type { ScheduledPermit } from './permitSchedule.js';

import { toAnnouncedRate, toObservation } from './announcedRate.js';

/** Dependencies of {@link ReplicaPermits}. */
export interface ReplicaPermitsDependencies {
  /** Permits that this instance owns. */
  readonly local: PermitOwner;
  readonly owners: OwnerSelector;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** What this instance knows of a replica that announced a rate. */
interface LimitedReplica {
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

/**
 * Obtains permits for requests to replicas that announced a rate. The permits of a replica are granted by
 * the instance that owns it, so the rate holds for all instances together, however few requests each of
 * them sends.
 *
 * @example
 * permits.record(entry, 2.5);
 * await permits.acquire(entry, 0); // { delayMilliseconds: 0, kind: 'granted' }
 */
export class ReplicaPermits {
  // Kept beyond the registration, which may lapse and return while the replica goes on.
  private readonly limitedReplicas = new LRUCache<ReplicaRunId, LimitedReplica>({
    max: MAXIMUM_REPLICAS,
  });

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
  public isLimited({ runId }: ReplicaEntry): boolean {
    return this.limitedReplicas.has(runId);
  }

  /** Time until the next permit for a replica, as far as this instance knows, in milliseconds. */
  public expectedDelayMilliseconds({ runId }: ReplicaEntry): number {
    const deniedUntil = this.limitedReplicas.get(runId)?.deniedUntil ?? -Infinity;
    return Math.max(0, deniedUntil - this.dependencies.timers.now());
  }

  /** Acquires a permit that is free within the maximum wait, in milliseconds. */
  public async acquire(
    entry: ReplicaEntry,
    maximumWaitMilliseconds: number,
  ): Promise<ScheduledPermit> {
    const limited = this.limitedReplicas.get(entry.runId);
    if (limited === undefined) {
      return { delayMilliseconds: 0, kind: 'granted' };
    }
    const expectedDelay = this.expectedDelayMilliseconds(entry);
    if (expectedDelay > maximumWaitMilliseconds) {
      return { kind: 'denied', retryAfterMilliseconds: expectedDelay };
    }
    const reply = await this.askOwners(entry, limited, maximumWaitMilliseconds);
    this.dependencies.metrics.permits.inc({ outcome: reply.kind });
    if (reply.kind === 'unreachable') {
      limited.deniedUntil = this.dependencies.timers.now() + OWNERLESS_RETRY_MILLISECONDS;
      return { kind: 'denied', retryAfterMilliseconds: OWNERLESS_RETRY_MILLISECONDS };
    }
    const now = this.dependencies.timers.now();
    this.update(entry, toObservation(reply.announced, now));
    if (reply.kind === 'denied') {
      limited.deniedUntil = now + reply.retryAfterMilliseconds;
    }
    return reply;
  }

  private async askOwners(
    { runId }: ReplicaEntry,
    { observation }: LimitedReplica,
    maximumWaitMilliseconds: number,
  ): Promise<PermitReply> {
    const { local, owners, timers } = this.dependencies;
    const request = {
      announced: toAnnouncedRate(observation, timers.now()),
      maximumWaitMilliseconds,
      replica: runId,
    };
    for (let asked = 0; asked < MAXIMUM_OWNERS; asked++) {
      const owner = owners.choose(runId);
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
      this.limitedReplicas.set(runId, { deniedUntil: -Infinity, observation });
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
