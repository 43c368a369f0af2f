import type { AvailabilityZone, InstanceId, Logger, Metrics, TimerService } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';
import type { Configuration } from '@zincring/rules';

import { preferredHolder, shardOf } from '@zincring/coordination';

import type { GossipParticipant } from '../peers/gossipParticipant.js';
import type { CrashProbe } from './crashProbe.js';
import type { EngineControlClient } from './engineControlClient.js';
import type { GoneProgramFinder } from './engineSweeper.js';
import type { ReplicaSender } from './replicaSender.js';
import type { PolicySettings, ReplicaStatus } from './serviceQueues.js';
import type { UpstreamDispatcher } from './upstreamMessages.js';

import { EngineMemoryReleaser } from './engineMemoryReleaser.js';
import { EngineSweeper } from './engineSweeper.js';
import { PoisonGuard } from './poisonGuard.js';
import { QueueingDispatcher } from './queueingDispatcher.js';
import { ReplicaTable } from './replicaTable.js';
import { ServiceQueues } from './serviceQueues.js';
import { WorkspaceUseGossip } from './workspaceUseGossip.js';

/** Settings of the upstreams module. */
export interface UpstreamSettings extends PolicySettings {
  /** Interval of retrying memory releases that were not confirmed, in milliseconds. */
  readonly releaseRetryMilliseconds: number;
  /** Maximum number of pending memory releases. */
  readonly maximumReleases: number;
  /** Interval of sweeping the engines, in milliseconds. */
  readonly sweepMilliseconds: number;
}

/** Dependencies and settings of {@link Upstreams}. */
export interface UpstreamsOptions {
  readonly settings: UpstreamSettings;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly zone: AvailabilityZone;
  readonly self: InstanceId;
  readonly sender: ReplicaSender;
  readonly crashProbe: CrashProbe;
  readonly engineControl: EngineControlClient;
  readonly goneProgramFinder: GoneProgramFinder;
  readonly configuration: () => Configuration | undefined;
  /** Returns the names of the instances that are alive, including this one. */
  readonly instances: () => ReadonlySet<string>;
  /** Sends this instance's gossip to the others immediately; settles once they have responded. */
  readonly publishGossip: () => Promise<void>;
}

/** Number of shards by which engines are assigned to the instances that sweep them. */
const SWEEP_SHARD_COUNT = 4_096;

/** Creates and connects the components that queue calls and send them to replicas. */
export class Upstreams {
  public readonly dispatcher: UpstreamDispatcher;
  public readonly memoryReleaser: EngineMemoryReleaser;
  public readonly gossipParticipants: readonly GossipParticipant[];
  private readonly replicas = new ReplicaTable();
  private readonly serviceQueues: ServiceQueues;
  private readonly sweeper: EngineSweeper;

  public constructor(private readonly options: UpstreamsOptions) {
    const { metrics, engineControl, sender, settings, publishGossip, timers } = options;
    const { replicas } = this;
    const poisonGuard = new PoisonGuard({ publishGossip, timers });
    this.serviceQueues = new ServiceQueues({
      ...options,
      instanceCount: () => options.instances().size,
      replicas,
    });
    const workspaceUseGossip = new WorkspaceUseGossip((service, workspace, tokens) => {
      this.serviceQueues.observeRemoteUse(service, workspace, tokens);
    });
    this.gossipParticipants = [poisonGuard, workspaceUseGossip];
    this.memoryReleaser = new EngineMemoryReleaser({
      ...options,
      maximumPendingReleases: settings.maximumReleases,
      replicas,
      retryMilliseconds: settings.releaseRetryMilliseconds,
    });
    this.sweeper = this.createSweeper(engineControl);
    this.dispatcher = new QueueingDispatcher({
      recordUse: (service, workspace, tokens) => {
        workspaceUseGossip.add(service, workspace, tokens);
      },
      crashProbe: options.crashProbe,
      poisonGuard,
      queueOf: service => this.serviceQueues.queueOf(service),
      memoryReleaser: this.memoryReleaser,
      metrics,
      retryBudgetOf: service => this.serviceQueues.retryBudgetOf(service),
      sender,
      timers,
    });
  }

  /** Starts retrying memory releases and sweeping engines. */
  public start(): void {
    this.memoryReleaser.start();
    this.sweeper.start();
  }

  /** Stops the retries, the sweep and the polling of engines. */
  public stop(): void {
    this.memoryReleaser.stop();
    this.sweeper.stop();
    this.serviceQueues.stop();
  }

  /** Applies the platform's directory. */
  public updateDirectory(entries: readonly DirectoryEntry[]): void {
    this.replicas.update(entries);
    this.serviceQueues.refreshReplicas();
  }

  /** Applies a newer configuration. */
  public updateConfiguration(configuration: Configuration): void {
    this.serviceQueues.removeUnconfigured(configuration);
  }

  /** Returns the status of every replica. */
  public describe(): readonly ReplicaStatus[] {
    return this.serviceQueues.describe();
  }

  private createSweeper(engineControl: EngineControlClient): EngineSweeper {
    const { goneProgramFinder, configuration, instances, logger, self, settings, timers } =
      this.options;
    return new EngineSweeper({
      goneProgramFinder,
      intervalMilliseconds: settings.sweepMilliseconds,
      isEngine: replica => configuration()?.services.get(replica.service)?.protocol === 'engine',
      isResponsible: replica =>
        preferredHolder(shardOf(replica.id, SWEEP_SHARD_COUNT), instances()) === self,
      logger,
      memoryReleaser: this.memoryReleaser,
      engineControl,
      replicas: this.replicas,
      timers,
    });
  }
}
