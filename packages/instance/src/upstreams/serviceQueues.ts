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

import type { EngineControlClient } from './engineControlClient.js';
import type { Replica, ReplicaTable } from './replicaTable.js';
import type { QueuedWork } from './serviceQueue.js';

import { EngineReportPoller } from './engineReportPoller.js';
import { selectReplicaSubset } from './selectReplicaSubset.js';
import { ServiceQueue } from './serviceQueue.js';

/** Settings of the scheduling policy; docs/operators/policy.md explains each. */
export interface PolicySettings {
  /** Maximum number of calls that wait for one service at one instance. */
  readonly maximumWaiting: number;
  /** Maximum number of calls of one workspace that wait for one service at one instance. */
  readonly maximumWaitingPerWorkspace: number;
  /**
   * Cost of each other call at the replica, since the calls of a batch share its compute, in
   * milliseconds.
   */
  readonly sharingMilliseconds: number;
  /** Number of calls that an engine computes concurrently. */
  readonly slotsPerReplica: number;
  /** Time to compute one prompt token, in milliseconds. */
  readonly prefillMillisecondsPerToken: number;
  /** Delay that one computed prompt token adds to each call of the batch, in milliseconds. */
  readonly batchDelayMillisecondsPerToken: number;
  /** Number of calls beyond the window of a replica allowed for workspaces below their share. */
  readonly belowShareOverflow: number;
  /** Expected duration of a call before any has been measured, in milliseconds. */
  readonly callMilliseconds: number;
  /** Cost of a replica in another availability zone, in milliseconds. */
  readonly zoneMilliseconds: number;
  /** Maximum number of prompt prefixes in the index of prefixes that replicas have cached. */
  readonly maximumPrefixes: number;
  /** Number of calls waiting at a replica above which the windows shrink. */
  readonly targetWaiting: number;
  /** Interval of polling the engines' reports, in milliseconds. */
  readonly reportMilliseconds: number;
  /** Assumed lag of load reports, in milliseconds. */
  readonly reportLagMilliseconds: number;
  /** Time for which a replica gets no new work after a failure, in milliseconds. */
  readonly suspicionMilliseconds: number;
  /** Maximum number of replicas of a service that one instance uses. */
  readonly maximumReplicas: number;
  /** Number of retries that each first attempt adds to the retry budget; usually a fraction. */
  readonly retryShare: number;
  /** Number of retries per second, over all instances, allowed independently of the traffic. */
  readonly retryReservePerSecond: number;
}

/** Dependencies and settings of {@link ServiceQueues}. */
export interface ServiceQueuesOptions {
  readonly settings: PolicySettings;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly zone: AvailabilityZone;
  readonly self: InstanceId;
  readonly replicas: ReplicaTable;
  readonly engineControl: EngineControlClient;
  readonly configuration: () => Configuration | undefined;
  /** Returns the number of instances that share the replicas. */
  readonly instanceCount: () => number;
}

interface ServiceEntry {
  readonly queue: ServiceQueue;
  readonly scheduler: WindowedServiceScheduler<QueuedWork>;
  readonly reportPoller: EngineReportPoller | undefined;
  readonly retryBudget: RetryBudget;
}

/** Status of one replica at this instance. */
export interface ReplicaStatus {
  readonly replica: Replica;
  /** Number of calls of this instance in flight at the replica. */
  readonly inFlight: number;
  /** Size of this instance's concurrency window for the replica. */
  readonly window: number;
}

const DEFAULT_CONCURRENCY = 64;
const MAXIMUM_SAVED_RETRIES = 10;

/** Queues, schedulers and retry budgets of all services at one instance. */
export class ServiceQueues {
  private readonly entries = new Map<ServiceName, ServiceEntry>();

  private readonly startedAt: number;

  public constructor(private readonly options: ServiceQueuesOptions) {
    this.startedAt = options.timers.now();
  }

  /** Returns the queue of a service; creates it on first use. */
  public queueOf(service: ServiceName): ServiceQueue {
    return this.findOrCreate(service).queue;
  }

  /** Returns the retry budget of a service. */
  public retryBudgetOf(service: ServiceName): RetryBudget {
    return this.findOrCreate(service).retryBudget;
  }

  /** Applies the current lists of replicas and instances to every service. */
  public refreshReplicas(): void {
    for (const [service, { queue, scheduler }] of this.entries) {
      scheduler.reconfigure(this.createWindowOptions(service));
      queue.refreshReplicas();
    }
  }

  /** Removes the services that the configuration no longer has, if nothing waits for them. */
  public removeUnconfigured(configuration: Configuration): void {
    for (const [service, { queue, reportPoller }] of this.entries) {
      if (!configuration.services.has(service) && queue.waitingCount === 0) {
        reportPoller?.stop();
        this.entries.delete(service);
      }
    }
  }

  /** Counts tokens that another instance served to a workspace at a service. */
  public observeRemoteUse(service: ServiceName, workspace: WorkspaceName, tokens: number): void {
    this.entries.get(service)?.scheduler.observeRemoteUse(workspace, tokens);
  }

  /** Returns the status of every replica. */
  public describe(): readonly ReplicaStatus[] {
    return [...this.options.replicas.listAll()].map(replica => {
      const window = this.entries.get(replica.service)?.scheduler.describeWindow(replica.id);
      return { inFlight: window?.used ?? 0, replica, window: window?.size ?? 0 };
    });
  }

  /** Stops polling reports. */
  public stop(): void {
    for (const { reportPoller } of this.entries.values()) {
      reportPoller?.stop();
    }
  }

  private findOrCreate(service: ServiceName): ServiceEntry {
    const existing = this.entries.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const entry = this.createEntry(service);
    this.entries.set(service, entry);
    entry.queue.refreshReplicas();
    entry.reportPoller?.start();
    return entry;
  }

  private createEntry(service: ServiceName): ServiceEntry {
    const { self, settings, timers } = this.options;
    const replicas = (): readonly Replica[] =>
      selectReplicaSubset(this.options.replicas.listLive(service), self, settings.maximumReplicas);
    const scheduler = this.createScheduler(service);
    return {
      queue: new ServiceQueue({ replicas, scheduler, timers }),
      reportPoller: this.createReportPoller(service, scheduler, replicas),
      retryBudget: this.createRetryBudget(),
      scheduler,
    };
  }

  private createScheduler(service: ServiceName): WindowedServiceScheduler<QueuedWork> {
    const { settings, zone } = this.options;
    return new WindowedServiceScheduler<QueuedWork>({
      belowShareOverflow: settings.belowShareOverflow,
      chooser: new CostReplicaChooser({
        batchDelayMillisecondsPerToken: settings.batchDelayMillisecondsPerToken,
        callMilliseconds: settings.callMilliseconds,
        maximumPrefixes: settings.maximumPrefixes,
        prefillMillisecondsPerToken: settings.prefillMillisecondsPerToken,
        random: Math.random,
        sharingMilliseconds: settings.sharingMilliseconds,
        slotsPerReplica: settings.slotsPerReplica,
        zone,
        zoneMilliseconds: settings.zoneMilliseconds,
      }),
      queue: new FairWorkQueue<QueuedWork>({
        maximumItems: settings.maximumWaiting,
        maximumItemsPerWorkspace: settings.maximumWaitingPerWorkspace,
        weightOf: workspace => this.weightOf(workspace),
      }),
      suspicionMilliseconds: settings.suspicionMilliseconds,
      window: this.createWindowOptions(service),
    });
  }

  private createReportPoller(
    service: ServiceName,
    scheduler: WindowedServiceScheduler<QueuedWork>,
    replicas: () => readonly Replica[],
  ): EngineReportPoller | undefined {
    if (this.ruleOf(service)?.protocol !== 'engine') {
      return undefined;
    }
    const { logger, engineControl, settings, timers } = this.options;
    return new EngineReportPoller({
      intervalMilliseconds: settings.reportMilliseconds,
      lagMilliseconds: settings.reportLagMilliseconds,
      logger,
      engineControl,
      replicas,
      scheduler,
      timers,
    });
  }

  private createRetryBudget(): RetryBudget {
    const { instanceCount, settings } = this.options;
    const options = {
      instances: instanceCount(),
      maximumSaved: MAXIMUM_SAVED_RETRIES,
      reservePerSecond: settings.retryReservePerSecond,
      share: settings.retryShare,
    };
    return new RetryBudget(options, this.startedAt);
  }

  private createWindowOptions(service: ServiceName): ConcurrencyWindowOptions {
    const { instanceCount, settings } = this.options;
    return {
      callMilliseconds: settings.callMilliseconds,
      instances: instanceCount(),
      maximumCalls: this.ruleOf(service)?.concurrency ?? DEFAULT_CONCURRENCY,
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
