import type { InstanceId, ManualTimerService } from '@zincring/core';

import { silentLogger } from '@zincring/core';

import type { WarmUpDescription } from '../../src/configuration/gatewayConfiguration.js';
import type { GatewayPeer } from '../../src/peers/gatewayPeer.js';
import type { Owner, OwnerDirectory } from '../../src/peers/ownerSelector.js';
import type { ColdRateBound } from '../../src/upstreams/permits/coldReplicas.js';
import type { ReplicaEntry } from '../../src/upstreams/replica.js';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';
import { OwnerSelector } from '../../src/peers/ownerSelector.js';
import { ColdReplicas } from '../../src/upstreams/permits/coldReplicas.js';
import { OwnedPermits } from '../../src/upstreams/permits/ownedPermits.js';
import { ReplicaPermits } from '../../src/upstreams/permits/replicaPermits.js';
import { makeOwner } from './fakePeer.js';
import { makeFaultyPeer } from './faultyPeer.js';
import { makeRandom } from './makeRandom.js';

/** The parts of an instance that limit its requests to a replica. */
export interface PermitInstance {
  readonly name: string;
  readonly permits: ReplicaPermits;
  /** Whether other instances reach this one. */
  isReachable: boolean;
  /** Whether this instance is stopped and sends no requests. */
  isStopped: boolean;
  /** Time since which the list of instances is not confirmed, in milliseconds; `undefined` if it is current. */
  outdatedSince: number | undefined;
}

/** A request that an instance sent to a replica. */
export interface SentRequest {
  readonly at: number;
  readonly instance: string;
}

/** Announces a rate as each response of a replica does. */
export interface AnnouncingReplica {
  readonly entry: ReplicaEntry;
  requestsPerSecond: number | undefined;
}

/** How the replicas of all services warm up, and the operator's bound for it. */
export const warmUp: WarmUpDescription = { milliseconds: 3_000, requestsPerSecond: 20 };
export const coldRateBound: ColdRateBound = { factor: 1.5, slack: 5 };

interface Parts extends PermitInstance {
  readonly directory: OwnerDirectory & {
    changedAt: number;
    isRegistered: boolean;
    registeredAt: number;
    owners: readonly Owner[];
  };
  ownedPermits: OwnedPermits;
  owners: OwnerSelector;
}

/** Instances that share the rate of replicas on manual time; each reaches the others within a few milliseconds. */
export class PermitFleet {
  public readonly instances: readonly PermitInstance[];
  public readonly sentRequests: SentRequest[] = [];
  private readonly parts: readonly Parts[];

  public constructor(
    private readonly timers: ManualTimerService,
    count: number,
  ) {
    this.parts = Array.from({ length: count }, (_unused, index) => this.makeInstance(index));
    this.instances = this.parts;
    this.registerAll();
  }

  /** Lets an instance forget everything, as after a restart of its process. */
  public restart(index: number): void {
    Object.assign(this.parts[index]!, this.makeInstance(index));
    this.registerAll();
  }

  /** Withdraws the registration of an instance, as all others and the instance itself know. */
  public unregister(instance: PermitInstance): void {
    this.register(this.instances.filter(each => each !== instance));
    this.parts.find(each => each === instance)!.directory.isRegistered = false;
  }

  /** Changes which instances are registered, as seen by the given instances. */
  public register(registered: readonly PermitInstance[], seenBy = this.instances): void {
    const owners = new Map(registered.map(each => [each.name, this.makeOwner(each.name)]));
    for (const part of this.parts.filter(each => seenBy.includes(each))) {
      part.directory.changedAt = this.timers.now();
      if (!part.directory.isRegistered) {
        part.directory.registeredAt = this.timers.now();
      }
      part.directory.isRegistered = true;
      part.directory.owners = [...owners]
        .filter(([name]) => name !== part.name)
        .map(([, owner]) => owner);
    }
  }

  /** Returns the instance that owns the permits of a replica. */
  public findOwner({ entry }: AnnouncingReplica, among = this.instances): PermitInstance {
    return this.parts.find(each => among.includes(each) && each.owners.ranksFirst(entry.runId))!;
  }

  /** Sends a request to a replica if there is a permit; returns whether there was. */
  public async trySend(
    instance: PermitInstance,
    replica: AnnouncingReplica,
    maximumWaitMilliseconds: number,
  ): Promise<boolean> {
    const wasLimited = instance.permits.isLimited(replica.entry);
    const permit = await instance.permits.acquire(replica.entry, maximumWaitMilliseconds);
    if (permit.kind === 'denied') {
      return false;
    }
    this.timers.after(permit.delayMilliseconds, () => {
      if (wasLimited) {
        this.sentRequests.push({ at: this.timers.now(), instance: instance.name });
      }
      instance.permits.record(replica.entry, replica.requestsPerSecond);
    });
    return true;
  }

  /** Returns the times of the requests that instances sent while they knew of the limit. */
  public sentTimes(since: number): readonly number[] {
    return this.sentRequests.filter(({ at }) => at >= since).map(({ at }) => at);
  }

  private registerAll(): void {
    this.register(this.instances);
  }

  private makeInstance(index: number): Parts {
    const { timers } = this;
    const name = `entry-${String(index)}`;
    const directory: Parts['directory'] = {
      ageMilliseconds: () => {
        const { outdatedSince } = this.parts[index]!;
        return outdatedSince === undefined ? 0 : timers.now() - outdatedSince;
      },
      changedAt: timers.now(),
      isRegistered: true,
      registeredAt: timers.now(),
      owners: [],
    };
    const owners = new OwnerSelector(name as InstanceId, directory, timers, silentLogger);
    const ownedPermits = new OwnedPermits({ logger: silentLogger, ranking: owners, timers });
    const coldReplicas = new ColdReplicas({
      bound: coldRateBound,
      findWarmUp: () => warmUp,
      logger: silentLogger,
      timers,
      zones: { millisecondsSinceReturn: () => undefined },
    });
    const permits = new ReplicaPermits({
      coldReplicas,
      local: ownedPermits,
      logger: silentLogger,
      metrics: new GatewayMetrics(),
      owners,
      timers,
    });
    return {
      directory,
      isReachable: true,
      isStopped: false,
      name,
      outdatedSince: undefined,
      ownedPermits,
      owners,
      permits,
    };
  }

  private makeOwner(name: string): Owner {
    const { peer: unreachablePeer } = makeOwner(name);
    const part = this.parts.find(each => each.name === name)!;
    const peer = (): GatewayPeer => ({
      ...unreachablePeer,
      acquirePermit: async request =>
        part.isReachable
          ? await part.ownedPermits.acquirePermit(request)
          : await unreachablePeer.acquirePermit(request),
      reportRate: async report => part.isReachable && (await part.ownedPermits.reportRate(report)),
    });
    const noFaults = { lateRequests: 0, lostAnswers: 0, lostRequests: 0 };
    return {
      instance: name as InstanceId,
      peer: makeFaultyPeer(peer, this.timers, makeRandom(1), noFaults),
    };
  }
}
