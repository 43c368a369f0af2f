import type { AvailabilityZone, InstanceId, Logger, Metrics, TimerService } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';
import type { Configuration } from '@zincring/rules';

import { preferredHolder, shardOf } from '@zincring/coordination';

import type { GossipParticipant } from '../peers/gossipParticipant.js';
import type { EngineOrders } from './engineOrders.js';
import type { ProgramCensus } from './engineSweeper.js';
import type { ReplicaSender } from './replicaSender.js';
import type { PolicySettings, ReplicaStatus } from './serviceLanes.js';
import type { UpstreamDispatcher } from './upstreamMessages.js';

import { EngineMemory } from './engineMemory.js';
import { EngineSweeper } from './engineSweeper.js';
import { PoisonGuard } from './poisonGuard.js';
import { QueueingDispatcher } from './queueingDispatcher.js';
import { ReplicaTable } from './replicaTable.js';
import { ServiceLanes } from './serviceLanes.js';
import { WorkspaceUseGossip } from './workspaceUseGossip.js';

/** Settings of the slice. */
export interface UpstreamSettings extends PolicySettings {
  /** Time between attempts at release orders that were not confirmed, in milliseconds. */
  readonly releaseRetryMilliseconds: number;
  /** Most release orders that wait. */
  readonly maximumReleases: number;
  /** Time between sweeps of the engines, in milliseconds. */
  readonly sweepMilliseconds: number;
}

/** What the slice needs of the others. */
export interface UpstreamsOptions {
  readonly settings: UpstreamSettings;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly zone: AvailabilityZone;
  readonly self: InstanceId;
  readonly sender: ReplicaSender;
  readonly orders: EngineOrders;
  readonly census: ProgramCensus;
  readonly configuration: () => Configuration | undefined;
  /** Instances that are alive, this one included. */
  readonly instances: () => ReadonlySet<string>;
  /** Tells the other instances the news at once; settles when they have answered. */
  readonly spreadNews: () => Promise<void>;
}

/** Number of parts into which the engines are divided for the sweep. */
const SWEEP_PARTS = 4_096;

/** Everything between a call and the replica that runs it. */
export class Upstreams {
  public readonly dispatcher: UpstreamDispatcher;
  public readonly memory: EngineMemory;
  public readonly participants: readonly GossipParticipant[];
  private readonly replicas = new ReplicaTable();
  private readonly lanes: ServiceLanes;
  private readonly sweeper: EngineSweeper;

  public constructor(private readonly options: UpstreamsOptions) {
    const { metrics, orders, sender, settings, spreadNews, timers } = options;
    const { replicas } = this;
    const guard = new PoisonGuard({ spreadNews, timers });
    this.lanes = new ServiceLanes({
      ...options,
      instanceCount: () => options.instances().size,
      replicas,
    });
    const use = new WorkspaceUseGossip((service, workspace, tokens) => {
      this.lanes.observeRemoteUse(service, workspace, tokens);
    });
    this.participants = [guard, use];
    this.memory = new EngineMemory({
      ...options,
      maximumPending: settings.maximumReleases,
      replicas,
      retryMilliseconds: settings.releaseRetryMilliseconds,
    });
    this.sweeper = this.createSweeper(orders);
    this.dispatcher = new QueueingDispatcher({
      countUse: (service, workspace, tokens) => {
        use.add(service, workspace, tokens);
      },
      guard,
      laneOf: service => this.lanes.laneOf(service),
      memory: this.memory,
      metrics,
      retryBudgetOf: service => this.lanes.retryBudgetOf(service),
      sender,
      timers,
    });
  }

  /** Begins to release engine memory and to sweep. */
  public start(): void {
    this.memory.start();
    this.sweeper.start();
  }

  /** Stops everything that repeats. */
  public stop(): void {
    this.memory.stop();
    this.sweeper.stop();
    this.lanes.stop();
  }

  /** Takes over the platform's list. */
  public updateDirectory(entries: readonly DirectoryEntry[]): void {
    this.replicas.update(entries);
    this.lanes.refreshReplicas();
  }

  /** Takes over a newer configuration. */
  public updateConfiguration(configuration: Configuration): void {
    this.lanes.retainConfigured(configuration);
  }

  /** Replicas with what this instance has in flight there. */
  public describe(): readonly ReplicaStatus[] {
    return this.lanes.describe();
  }

  private createSweeper(orders: EngineOrders): EngineSweeper {
    const { census, configuration, instances, logger, self, settings, timers } = this.options;
    return new EngineSweeper({
      census,
      intervalMilliseconds: settings.sweepMilliseconds,
      isEngine: replica => configuration()?.services.get(replica.service)?.protocol === 'engine',
      isResponsible: replica =>
        preferredHolder(shardOf(replica.id, SWEEP_PARTS), instances()) === self,
      logger,
      memory: this.memory,
      orders,
      replicas: this.replicas,
      timers,
    });
  }
}
