import type { Logger, TimerService } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { ReplicaRunId } from '../replica.js';
import type { RateObservation } from './announcedRate.js';
import type { PermitOwner, PermitReply, PermitRequest, RateReport } from './permitOwner.js';

import { MAXIMUM_LIST_AGE_MILLISECONDS } from '../../peers/ownerSelector.js';
import { toAnnouncedRate, toObservation } from './announcedRate.js';
import { PermitSchedule } from './permitSchedule.js';

/** Where this instance ranks among the instances that may own a key. */
export interface OwnerRanking {
  /** Whether this instance ranks first among all registered instances, including those that do not respond. */
  ranksFirst(key: string): boolean;
  /** Whether this instance is registered and knows the registered instances as they are now. */
  isCurrent(): boolean;
  /** Time since the registered instances last changed, in milliseconds. */
  unchangedMilliseconds(): number;
  /** Time since this instance was registered, without interruption, in milliseconds. */
  registeredMilliseconds(): number;
}

/** Dependencies of {@link OwnedPermits}. */
export interface OwnedPermitsDependencies {
  readonly ranking: OwnerRanking;
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** A replica whose permits this instance grants. */
interface OwnedReplica {
  observation: RateObservation;
  readonly schedule: PermitSchedule;
  /** Time since which this instance certainly ranks first, on the monotonic clock, in milliseconds; `undefined` if it may not. */
  rankedFirstSince: number | undefined;
}

/** Maximum number of replicas whose permits are kept. */
const MAXIMUM_REPLICAS = 1_000;
/**
 * Share of the rate that an instance grants while another one may also grant permits. Two of these and
 * a full owner stay within one and a half times the rate.
 */
const PROVISIONAL_SHARE = 0.25;
/**
 * Time until an owner that was replaced knows of it or its list counts as out of date, in milliseconds; the
 * feed of changes may miss a second.
 */
const SETTLING_MILLISECONDS = MAXIMUM_LIST_AGE_MILLISECONDS + 2_000;

/**
 * Grants permits for the replicas that this instance owns, so that all instances together stay within the
 * rate that a replica announced. Nothing is stored: instances that disagree about the owner are allowed
 * for by a reduced rate at every owner that does not certainly rank first.
 *
 * @example
 * const reply = await permits.acquirePermit({ announced, maximumWaitMilliseconds: 0, replica });
 */
export class OwnedPermits implements PermitOwner {
  private readonly replicas = new LRUCache<ReplicaRunId, OwnedReplica>({ max: MAXIMUM_REPLICAS });

  public constructor(private readonly dependencies: OwnedPermitsDependencies) {}

  public async acquirePermit(request: PermitRequest): Promise<PermitReply> {
    return await Promise.resolve(this.grant(request));
  }

  public async reportRate(report: RateReport): Promise<boolean> {
    this.observe(report);
    return await Promise.resolve(true);
  }

  private grant(request: PermitRequest): PermitReply {
    const now = this.dependencies.timers.now();
    const owned = this.observe(request);
    const { requestsPerSecond } = owned.observation;
    const announced = toAnnouncedRate(owned.observation, now);
    if (requestsPerSecond === undefined) {
      return { announced, delayMilliseconds: 0, kind: 'granted' };
    }
    owned.schedule.changeRate(requestsPerSecond * this.computeShare(request.replica, owned), now);
    const { burstMilliseconds, maximumWaitMilliseconds } = request;
    return { ...owned.schedule.take(now, maximumWaitMilliseconds, burstMilliseconds), announced };
  }

  private observe({ announced, replica }: RateReport): OwnedReplica {
    const now = this.dependencies.timers.now();
    const observation = toObservation(announced, now);
    const known = this.replicas.get(replica);
    if (known === undefined) {
      const owned: OwnedReplica = {
        observation,
        rankedFirstSince: undefined,
        schedule: new PermitSchedule(observation.requestsPerSecond ?? 0, now),
      };
      this.replicas.set(replica, owned);
      this.logRate(replica, observation.requestsPerSecond);
      return owned;
    }
    if (observation.observedAt > known.observation.observedAt) {
      if (observation.requestsPerSecond !== known.observation.requestsPerSecond) {
        this.logRate(replica, observation.requestsPerSecond);
      }
      known.observation = observation;
    }
    return known;
  }

  private computeShare(replica: ReplicaRunId, owned: OwnedReplica): number {
    const { ranking, timers } = this.dependencies;
    if (!ranking.isCurrent() || !ranking.ranksFirst(replica)) {
      owned.rankedFirstSince = undefined;
      return PROVISIONAL_SHARE;
    }
    owned.rankedFirstSince ??= timers.now() - ranking.unchangedMilliseconds();
    // The registration may have been lost and stored again since the last permit.
    const settledFor = Math.min(
      timers.now() - owned.rankedFirstSince,
      ranking.registeredMilliseconds(),
    );
    const isSettled = settledFor >= SETTLING_MILLISECONDS;
    return isSettled ? 1 : PROVISIONAL_SHARE;
  }

  private logRate(replica: ReplicaRunId, requestsPerSecond: number | undefined): void {
    this.dependencies.logger.info(
      { event: 'permits-owned', replica, requestsPerSecond },
      'this instance grants the permits for a replica',
    );
  }
}
