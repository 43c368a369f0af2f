import type {
  AvailabilityZone,
  InstanceId,
  Logger,
  ServiceName,
  TimerService,
  WorkspaceName,
} from '@zincring/core';
import type { Configuration, ServiceRule } from '@zincring/rules';
import type { ConcurrencyWindowOptions } from '@zincring/scheduling';

import {
  CostReplicaChooser,
  FairWorkQueue,
  RetryBudget,
  WindowedServiceScheduler,
} from '@zincring/scheduling';

import type { EngineOrders } from './engineOrders.js';
import type { Replica, ReplicaTable } from './replicaTable.js';
import type { WaitingWork } from './serviceLane.js';

import { EngineReports } from './engineReports.js';
import { replicaSubset } from './replicaSubset.js';
import { ServiceLane } from './serviceLane.js';

/** Settings of the policy; docs/operators/policy.md explains each. */
export interface PolicySettings {
  /** Most calls that wait for one service at one instance. */
  readonly maximumWaiting: number;
  /** Most calls that wait for one service for one workspace at one instance. */
  readonly maximumWaitingPerWorkspace: number;
  /** Price of each call that is computed beside, since a batch shares the replica, in milliseconds. */
  readonly sharingMilliseconds: number;
  /** Calls that an engine computes at a time. */
  readonly slotsPerReplica: number;
  /** Time to compute one prompt token, in milliseconds. */
  readonly prefillMillisecondsPerToken: number;
  /** Time by which one computed prompt token holds up each call of the batch, in milliseconds. */
  readonly batchDelayMillisecondsPerToken: number;
  /** Calls beyond the window of a replica that a workspace below its share may have there. */
  readonly belowShareOverflow: number;
  /** Expected time of a call before any was measured, in milliseconds. */
  readonly callMilliseconds: number;
  /** Price of leaving the availability zone, in milliseconds. */
  readonly zoneMilliseconds: number;
  /** Prefixes remembered, at most. */
  readonly maximumPrefixes: number;
  /** Calls waiting at a replica above which the windows shrink. */
  readonly targetWaiting: number;
  /** Time between readings of engines' reports, in milliseconds. */
  readonly reportMilliseconds: number;
  /** How far load reports are assumed to lag, in milliseconds. */
  readonly reportLagMilliseconds: number;
  /** How long a replica that failed gets nothing new, in milliseconds. */
  readonly suspicionMilliseconds: number;
  /** Replicas of a service that one instance works with, at most. */
  readonly maximumReplicas: number;
  /** Retries for each first attempt. */
  readonly retryShare: number;
  /** Retries per second that are allowed without traffic, over all instances. */
  readonly retryReservePerSecond: number;
}

/** What the lanes need. */
export interface ServiceLanesOptions {
  readonly settings: PolicySettings;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly zone: AvailabilityZone;
  readonly self: InstanceId;
  readonly replicas: ReplicaTable;
  readonly orders: EngineOrders;
  readonly configuration: () => Configuration | undefined;
  /** Instances that share the replicas. */
  readonly instanceCount: () => number;
}

interface Lane {
  readonly lane: ServiceLane;
  readonly scheduler: WindowedServiceScheduler<WaitingWork>;
  readonly reports: EngineReports | undefined;
  readonly retryBudget: RetryBudget;
}

/** What a status shows of one replica. */
export interface ReplicaStatus {
  readonly replica: Replica;
  readonly inFlight: number;
  readonly window: number;
}

const DEFAULT_CONCURRENCY = 64;
const RETRIES_SAVED = 10;

/** The lanes of all services at one instance. */
export class ServiceLanes {
  private readonly lanes = new Map<ServiceName, Lane>();

  private readonly startedAt: number;

  public constructor(private readonly options: ServiceLanesOptions) {
    this.startedAt = options.timers.now();
  }

  /** The lane of a service, made when first used. */
  public laneOf(service: ServiceName): ServiceLane {
    return this.find(service).lane;
  }

  /** The retry budget of a service. */
  public retryBudgetOf(service: ServiceName): RetryBudget {
    return this.find(service).retryBudget;
  }

  /** Takes over the platform's list in every lane. */
  public refreshReplicas(): void {
    for (const [service, { lane, scheduler }] of this.lanes) {
      scheduler.reconfigure(this.windowOptions(service));
      lane.refreshReplicas();
    }
  }

  /** Ends the lanes of services that the configuration no longer has, once nothing waits. */
  public retainConfigured(configuration: Configuration): void {
    for (const [service, { lane, reports }] of this.lanes) {
      if (!configuration.services.has(service) && lane.waiting === 0) {
        reports?.stop();
        this.lanes.delete(service);
      }
    }
  }

  /** Counts what another instance served to a workspace at a service. */
  public observeRemoteUse(service: ServiceName, workspace: WorkspaceName, tokens: number): void {
    this.lanes.get(service)?.scheduler.observeRemoteUse(workspace, tokens);
  }

  /** Replicas with what this instance has in flight there. */
  public describe(): readonly ReplicaStatus[] {
    return [...this.options.replicas.all()].map(replica => {
      const window = this.lanes.get(replica.service)?.scheduler.describeWindow(replica.id);
      return { inFlight: window?.used ?? 0, replica, window: window?.size ?? 0 };
    });
  }

  /** Stops reading reports. */
  public stop(): void {
    for (const { reports } of this.lanes.values()) {
      reports?.stop();
    }
  }

  private find(service: ServiceName): Lane {
    const known = this.lanes.get(service);
    if (known !== undefined) {
      return known;
    }
    const lane = this.create(service);
    this.lanes.set(service, lane);
    lane.lane.refreshReplicas();
    lane.reports?.start();
    return lane;
  }

  private create(service: ServiceName): Lane {
    const { self, settings, timers } = this.options;
    const replicas = (): readonly Replica[] =>
      replicaSubset(this.options.replicas.of(service), self, settings.maximumReplicas);
    const scheduler = this.createScheduler(service);
    return {
      lane: new ServiceLane({ replicas, scheduler, timers }),
      reports: this.createReports(service, scheduler, replicas),
      retryBudget: this.createRetryBudget(),
      scheduler,
    };
  }

  private createScheduler(service: ServiceName): WindowedServiceScheduler<WaitingWork> {
    const { settings, zone } = this.options;
    return new WindowedServiceScheduler<WaitingWork>({
      belowShareOverflow: settings.belowShareOverflow,
      chooser: new CostReplicaChooser({
        batchDelayMillisecondsPerToken: settings.batchDelayMillisecondsPerToken,
        callMilliseconds: settings.callMilliseconds,
        maxPrefixes: settings.maximumPrefixes,
        prefillMillisecondsPerToken: settings.prefillMillisecondsPerToken,
        random: Math.random,
        sharingMilliseconds: settings.sharingMilliseconds,
        slotsPerReplica: settings.slotsPerReplica,
        zone,
        zoneMilliseconds: settings.zoneMilliseconds,
      }),
      queue: new FairWorkQueue<WaitingWork>({
        maxItems: settings.maximumWaiting,
        maxItemsPerWorkspace: settings.maximumWaitingPerWorkspace,
        weightOf: workspace => this.weightOf(workspace),
      }),
      suspicionMilliseconds: settings.suspicionMilliseconds,
      window: this.windowOptions(service),
    });
  }

  private createReports(
    service: ServiceName,
    scheduler: WindowedServiceScheduler<WaitingWork>,
    replicas: () => readonly Replica[],
  ): EngineReports | undefined {
    if (this.ruleOf(service)?.protocol !== 'engine') {
      return undefined;
    }
    const { logger, orders, settings, timers } = this.options;
    return new EngineReports({
      intervalMilliseconds: settings.reportMilliseconds,
      lagMilliseconds: settings.reportLagMilliseconds,
      logger,
      orders,
      replicas,
      scheduler,
      timers,
    });
  }

  private createRetryBudget(): RetryBudget {
    const { instanceCount, settings } = this.options;
    const options = {
      instances: instanceCount(),
      maxSaved: RETRIES_SAVED,
      reservePerSecond: settings.retryReservePerSecond,
      share: settings.retryShare,
    };
    return new RetryBudget(options, this.startedAt);
  }

  private windowOptions(service: ServiceName): ConcurrencyWindowOptions {
    const { instanceCount, settings } = this.options;
    return {
      callMilliseconds: settings.callMilliseconds,
      instances: instanceCount(),
      maxCalls: this.ruleOf(service)?.concurrency ?? DEFAULT_CONCURRENCY,
      targetWaiting: settings.targetWaiting,
    };
  }

  private weightOf(workspace: WorkspaceName): number {
    return this.options.configuration()?.workspaces.get(workspace)?.weight ?? 1;
  }

  private ruleOf(service: ServiceName): ServiceRule | undefined {
    return this.options.configuration()?.services.get(service);
  }
}
