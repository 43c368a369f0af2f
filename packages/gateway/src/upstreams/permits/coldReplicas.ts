import type { AvailabilityZone, Logger, ServiceName, TimerService } from '@zincring/core';

import { LRUCache } from 'lru-cache';

import type { WarmUpDescription } from '../../configuration/gatewayConfiguration.js';
import type { ReplicaEntry, ReplicaRunId } from '../replica.js';

/** Requests that a cold replica may get in any one second: its rate times the factor, and the slack. */
export interface ColdRateBound {
  readonly factor: number;
  readonly slack: number;
}

/** Availability zones that the operator has taken back. */
export interface ReturnedZones {
  /** Time since an availability zone was taken back, in milliseconds; `undefined` if it is evacuated or never was. */
  millisecondsSinceReturn(zone: AvailabilityZone): number | undefined;
}

/** Dependencies of {@link ColdReplicas}. */
export interface ColdReplicasDependencies {
  readonly bound: ColdRateBound;
  /** Returns how the replicas of a service warm up; `undefined` if they take any rate at once. */
  readonly findWarmUp: (service: ServiceName) => WarmUpDescription | undefined;
  readonly logger: Logger;
  readonly timers: TimerService;
  readonly zones: ReturnedZones;
}

/** Unused time that the permits of a cold replica may make up for at once, in milliseconds. */
export const COLD_BURST_MILLISECONDS = 50;
/** Sum of the shares of the rate that owners grant while they do not agree: two at a reduced rate and one in full. */
const MAXIMUM_SHARE_OF_OWNERS = 1.5;
/** Number of these owners: each may grant one permit beyond its rate. */
const MAXIMUM_OWNERS = 3;
/** Maximum number of replicas whose last known state is remembered. */
const MAXIMUM_REPLICAS = 1_000;

/**
 * Decides whether a replica is cold when it is chosen, and at which rate it may then get requests. A replica is
 * cold while its entry or a response says so. The replicas of an availability zone that was taken back count as
 * cold for the time of a start, since the end of the evacuation may be known before their entries are.
 *
 * It answers the load at the return of a zone: all instances find many idle replicas at the same moment.
 *
 * @example
 * coldReplicas.findRate(entry); // 20 requests per second; undefined for a warm replica
 */
export class ColdReplicas {
  /** End of the time for which responses said that a replica stays cold, on the monotonic clock, in milliseconds. */
  private readonly announcedEnds = new LRUCache<ReplicaRunId, number>({ max: MAXIMUM_REPLICAS });
  private readonly loggedAsCold = new LRUCache<ReplicaRunId, true>({ max: MAXIMUM_REPLICAS });

  public constructor(private readonly dependencies: ColdReplicasDependencies) {}

  /** Records the time for which a response says that a replica stays cold, in milliseconds. */
  public record({ runId }: ReplicaEntry, coldMilliseconds: number): void {
    if (coldMilliseconds > 0) {
      this.announcedEnds.set(runId, this.dependencies.timers.now() + coldMilliseconds);
    } else {
      this.announcedEnds.delete(runId);
    }
  }

  /** Rate that a replica may get from all instances together, in requests per second; `undefined` if it is not limited by being cold. */
  public findRate(entry: ReplicaEntry): number | undefined {
    const warmUp = this.dependencies.findWarmUp(entry.service);
    const isCold = warmUp !== undefined && this.isCold(entry, warmUp);
    this.logChange(entry, isCold);
    return isCold ? computeColdRate(warmUp.requestsPerSecond, this.dependencies.bound) : undefined;
  }

  private isCold(entry: ReplicaEntry, { milliseconds }: WarmUpDescription): boolean {
    const { timers, zones } = this.dependencies;
    const announcedEnd =
      this.announcedEnds.size === 0 ? undefined : this.announcedEnds.get(entry.runId);
    const coldUntil = Math.max(entry.coldUntil ?? -Infinity, announcedEnd ?? -Infinity);
    if (coldUntil > timers.now()) {
      return true;
    }
    const sinceReturn = zones.millisecondsSinceReturn(entry.availabilityZone);
    return sinceReturn !== undefined && sinceReturn < milliseconds;
  }

  private logChange({ id, runId }: ReplicaEntry, isCold: boolean): void {
    const wasCold = this.loggedAsCold.size > 0 && this.loggedAsCold.has(runId);
    if (isCold === wasCold) {
      return;
    }
    if (isCold) {
      this.loggedAsCold.set(runId, true);
    } else {
      this.loggedAsCold.delete(runId);
    }
    this.dependencies.logger.info(
      { event: isCold ? 'replica-cold' : 'replica-warm', replica: id },
      isCold
        ? 'a replica is cold and gets a limited rate'
        : 'a replica is no longer limited by being cold',
    );
  }
}

/**
 * Computes the rate at which the permits of a cold replica are granted: what it tolerates, and no more than keeps
 * to the bound while three owners grant permits.
 *
 * @param toleratedRate rate that the replica tolerates, in requests per second
 * @example
 * computeColdRate(20, { factor: 1.5, slack: 5 }); // 20
 */
export function computeColdRate(toleratedRate: number, { factor, slack }: ColdRateBound): number {
  const permitsPerSecond = toleratedRate * factor + slack - MAXIMUM_OWNERS;
  const seconds = 1 + COLD_BURST_MILLISECONDS / 1_000;
  return Math.max(
    0,
    Math.min(toleratedRate, permitsPerSecond / (MAXIMUM_SHARE_OF_OWNERS * seconds)),
  );
}
