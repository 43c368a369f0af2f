import type { AvailabilityZone, Logger, Region, ServiceName, TimerService } from '@zincring/core';

import type { HeaderCodec } from '../callers/requestFacts.js';
import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { OwnerSelector } from '../peers/ownerSelector.js';
import type { CrashRecord } from './crashRecord.js';
import type { ReplicaEntry } from './replica.js';
import type { ReplicaDirectory } from './replicaDirectory.js';
import type { ColdRateBound, ReturnedZones } from './permits/coldReplicas.js';
import type { WarmUpDescription } from '../configuration/gatewayConfiguration.js';
import type { ReplicaRelay } from './replicaTransport.js';
import type { ReplicaCosts } from './load/replicaCosts.js';

import { probeConnection, ResponseTurns } from '@zincring/core';

import { Announcements } from './announcements.js';
import { CrashDetector } from './crashDetector.js';
import { DirectRelayTarget } from './directRelayTarget.js';
import { ColdReplicas } from './permits/coldReplicas.js';
import { OwnedPermits } from './permits/ownedPermits.js';
import { ReplicaPermits } from './permits/replicaPermits.js';
import { ReplicaReachability } from './reachability/replicaReachability.js';
import { isPermittedZone } from './regions/permittedRegions.js';
import { ReplicaLoads } from './replicaLoads.js';
import { ReplicaPool } from './replicaPool.js';
import { ReplicaTransport } from './replicaTransport.js';

/** What the operator asks of availability zones. */
export interface Zones extends ReturnedZones {
  /** Whether the replicas of an availability zone must get no requests. */
  isEvacuated(zone: AvailabilityZone): boolean;
}

/** Dependencies of a {@link ReplicaNetwork}. */
export interface ReplicaNetworkDependencies {
  readonly availabilityZone: AvailabilityZone;
  readonly costs: ReplicaCosts;
  readonly crashRecord: CrashRecord;
  readonly directory: ReplicaDirectory;
  readonly headerCodec: HeaderCodec;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly owners: OwnerSelector;
  readonly relay: ReplicaRelay;
  readonly random: () => number;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<AvailabilityZone, Region>;
  readonly timers: TimerService;
  readonly getMaximumConnections: (entry: ReplicaEntry) => number;
  readonly isStopping: () => boolean;
  /** Whether the engines have little room. */
  readonly areEnginesContended: () => boolean;
  readonly zones: Zones;
  readonly coldRateBound: ColdRateBound;
  /** Returns how the replicas of a service warm up; `undefined` if they take any rate at once. */
  readonly findWarmUp: (service: ServiceName) => WarmUpDescription | undefined;
}

/**
 * The replicas as this instance uses them: which one a request goes to, when it may go there, and by
 * which path.
 *
 * @example
 * const network = new ReplicaNetwork(dependencies);
 * network.pool.choose(request);
 */
export class ReplicaNetwork {
  public readonly announcements: Announcements;
  public readonly crashes: CrashDetector;
  public readonly ownedPermits: OwnedPermits;
  public readonly permits: ReplicaPermits;
  public readonly pool: ReplicaPool;
  public readonly relayTarget: DirectRelayTarget;
  public readonly transport: ReplicaTransport;
  private readonly reachability: ReplicaReachability;

  public constructor(dependencies: ReplicaNetworkDependencies) {
    const { availabilityZone, costs, directory, logger, metrics, owners, random, timers } =
      dependencies;
    const loads = new ReplicaLoads(timers, dependencies.getMaximumConnections);
    const { coldRateBound, findWarmUp, zones } = dependencies;
    const isZoneEvacuated = (zone: AvailabilityZone): boolean => zones.isEvacuated(zone);
    this.pool = new ReplicaPool({
      areEnginesContended: dependencies.areEnginesContended,
      availabilityZone,
      costs,
      directory,
      isPermitted: (zone, permittedRegions) =>
        !isZoneEvacuated(zone) && isPermittedZone(zone, permittedRegions, dependencies.regions),
      loads,
      random,
      timers,
    });
    this.ownedPermits = new OwnedPermits({ logger, ranking: owners, timers });
    const coldReplicas = new ColdReplicas({
      bound: coldRateBound,
      findWarmUp,
      logger,
      timers,
      zones,
    });
    this.permits = new ReplicaPermits({
      coldReplicas,
      local: this.ownedPermits,
      logger,
      metrics,
      owners,
      timers,
    });
    this.announcements = new Announcements({ coldReplicas, loads, logger, permits: this.permits });
    this.reachability = makeReachability(dependencies);
    const { reachability } = this;
    const { relay } = dependencies;
    const { headerCodec, isStopping } = dependencies;
    this.transport = new ReplicaTransport({
      headerCodec,
      loads,
      logger,
      metrics,
      reachability,
      relay,
      timers,
      turns: makeTurns(dependencies),
    });
    const { announcements, transport } = this;
    this.crashes = makeCrashDetector(dependencies, loads, transport);
    this.relayTarget = new DirectRelayTarget({
      announcements,
      directory,
      headerCodec,
      isStopping,
      isZoneEvacuated,
      loads,
      transport,
    });
  }

  /** Closes the connections to replicas that are no longer registered. */
  public sweep(): void {
    this.pool.sweep();
  }

  /** Stops observing the links to the replicas. */
  public stop(): void {
    this.reachability.stop();
  }
}

function makeTurns({ metrics, timers }: ReplicaNetworkDependencies): ResponseTurns {
  return new ResponseTurns(timers, bytes => {
    metrics.turnBytes.inc(bytes);
  });
}

function makeReachability({
  directory,
  logger,
  random,
  timers,
}: ReplicaNetworkDependencies): ReplicaReachability {
  return new ReplicaReachability({
    listReplicas: () => directory.listAll(),
    logger,
    probe: async entry => (await probeConnection(timers, entry)) === 'open',
    random,
    timers,
  });
}

function makeCrashDetector(
  { crashRecord: record, directory, logger, timers }: ReplicaNetworkDependencies,
  loads: ReplicaLoads,
  transport: ReplicaTransport,
): CrashDetector {
  return new CrashDetector({
    directory,
    isLeaving: entry => loads.isLeaving(entry),
    isPathSuspect: () => transport.isPathSuspect,
    logger,
    probe: async entry => await probeConnection(timers, entry),
    record,
    timers,
  });
}
