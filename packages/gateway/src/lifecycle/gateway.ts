import type { Logger, TimerService, TimerSubscription } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import { sleep } from '@zincring/core';

import type { RequestWire } from '../callers/requestFacts.js';
import type { ConfigurationSource } from '../configuration/configurationFollower.js';
import type { ReplicaEntry } from '../upstreams/replica.js';
import type { ReplicaSource } from '../upstreams/replicaDirectory.js';
import type { GatewayOptions, GatewayTimes } from './gatewayOptions.js';

import { GatewayServer } from '../callers/gatewayServer.js';
import { RequestPipeline } from '../callers/requestPipeline.js';
import { ConfigurationFollower } from '../configuration/configurationFollower.js';
import { RowSweeper } from '../store/rowSweeper.js';
import { WatchedTable } from '../store/watchedTable.js';
import { WorkspaceRates } from '../limits/workspaceRates.js';
import { KeptTurns } from '../programs/keptTurns.js';
import { sweptTurns } from '../programs/keptTurnRows.js';
import { sweptBudgets, TurnBudgets } from '../programs/turnBudgets.js';
import { defaultDecisionLogOptions, DecisionLog } from '../observation/decisionLog.js';
import { GatewayMetrics } from '../observation/gatewayMetrics.js';
import { MetricsServer } from '../observation/metricsServer.js';
import { CrashRecord, sweptCrashes } from '../upstreams/crashRecord.js';
import { ReplicaDirectory } from '../upstreams/replicaDirectory.js';
import { ReplicaLoads } from '../upstreams/replicaLoads.js';
import { ReplicaPool } from '../upstreams/replicaPool.js';
import { gatewayTimes } from './gatewayOptions.js';
import { ReadinessServer } from './readinessServer.js';
import { RotationWatch } from './rotationWatch.js';

/** The world of a {@link Gateway}. */
export interface GatewayParts {
  readonly table: PartitionedTable;
  readonly wire: RequestWire;
  readonly configurationSource: ConfigurationSource;
  readonly replicaSource: ReplicaSource;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
  readonly makeId: () => string;
}

/** The ports that an instance listens on. */
export interface GatewayPorts {
  readonly callers: number;
  readonly metrics: number;
  readonly readiness: number;
}

/** Longest wait for news of replicas, in milliseconds: one heartbeat. */
const REPLICA_WAIT_MILLISECONDS = 1_000;
/** Time after an outage of the store in which replicas register again, in milliseconds: as the platform states. */
const RETURN_MILLISECONDS = 1_900;
/** Shortest loss of the store in which entries may lapse, in milliseconds: over one heartbeat. */
const OUTAGE_MILLISECONDS = 2_500;
/** Pause between sweeps of connections to replicas that have left, in milliseconds. */
const SWEEP_MILLISECONDS = 1_000;
/** Silence of the store after which callers should go elsewhere, in milliseconds: over one wait of a feed. */
const SILENCE_MILLISECONDS = 1_600;
/** Time for giving back held tokens during a stop, in milliseconds: within the rest of the grace period. */
const RELEASE_MILLISECONDS = 400;
/** Connections that one instance opens to a replica at most. */
const MAXIMUM_CONNECTIONS = 16;

/**
 * An instance that serves each request where it arrives: it follows the configuration and the
 * replicas in the store, and needs no other instance.
 *
 * @example
 * const gateway = new Gateway(options, parts);
 * await gateway.start();
 */
export class Gateway {
  private readonly configuration: ConfigurationFollower;
  private readonly directory: ReplicaDirectory;
  private readonly crashes: CrashRecord;
  private readonly pool: ReplicaPool;
  private readonly server: GatewayServer;
  private readonly readiness: ReadinessServer;
  private readonly rotation = new RotationWatch();
  private readonly times: GatewayTimes;
  private readonly metrics = new GatewayMetrics();
  private readonly metricsServer = new MetricsServer(this.metrics);
  private readonly logger: Logger;
  private readonly table: WatchedTable;
  private readonly budgets: TurnBudgets;
  /** Names this run of the instance among all that ever hold tokens or credit. */
  private readonly holder: string;
  private readonly sweeper: RowSweeper;
  private sweeping: TimerSubscription | undefined;
  private isStopping = false;

  public constructor(
    private readonly options: GatewayOptions,
    private readonly parts: GatewayParts,
  ) {
    const { timers } = parts;
    const table = this.watchStore(parts.table, timers);
    this.table = table;
    const logger = new DecisionLog(parts.logger, timers, defaultDecisionLogOptions);
    this.logger = logger;
    this.times = gatewayTimes(options);
    this.configuration = new ConfigurationFollower(
      table,
      parts.configurationSource,
      timers,
      logger,
      {
        freshMilliseconds: this.times.freshMilliseconds,
        usableMilliseconds: options.staleConfigurationMilliseconds,
        waitMilliseconds: this.times.configurationWaitMilliseconds,
      },
    );
    this.directory = new ReplicaDirectory(table, parts.replicaSource, timers, logger, {
      outageMilliseconds: OUTAGE_MILLISECONDS,
      pauseMilliseconds: this.times.replicaPauseMilliseconds,
      returnMilliseconds: RETURN_MILLISECONDS,
      waitMilliseconds: REPLICA_WAIT_MILLISECONDS,
    });
    this.crashes = new CrashRecord({ logger, makeId: parts.makeId, table, timers });
    this.holder = `${options.instance}/${parts.makeId()}`;
    this.budgets = new TurnBudgets({
      holder: this.holder,
      logger,
      random: parts.random,
      table,
      timers,
    });
    this.sweeper = new RowSweeper({ logger, random: parts.random, table, timers }, [
      sweptTurns,
      sweptBudgets,
      sweptCrashes,
    ]);
    const loads = new ReplicaLoads(timers, entry => this.connectionsTo(entry));
    this.pool = new ReplicaPool(this.directory, loads, options.availabilityZone, parts.random);
    this.server = new GatewayServer({
      hasStoreContact: () => this.isInTouch,
      logger,
      pipeline: this.makePipeline(),
      zoneOutageDetector: this.rotation,
      timers,
      headerCodec: parts.wire,
    });
    this.readiness = new ReadinessServer(() => this.isReady, this.rotation);
    this.configuration.subscribe(index => {
      this.server.applyLimits(index.configuration.callerLimits);
    });
  }

  /** Whether callers should be sent here. */
  public get isReady(): boolean {
    return !this.isStopping && this.isInTouch;
  }

  /**
   * Whether requests with a key can be served here for a while. An instance without the store says
   * so early, since the balancer needs two seconds to turn callers away.
   */
  private get isInTouch(): boolean {
    return (
      this.configuration.isFresh() &&
      this.directory.isKnown &&
      this.table.silenceMilliseconds() < SILENCE_MILLISECONDS
    );
  }

  /** Ports on which callers and the balancer are answered. */
  public get ports(): GatewayPorts {
    return {
      callers: this.server.port,
      metrics: this.metricsServer.port,
      readiness: this.readiness.port,
    };
  }

  /** Begins to follow the store and to listen. */
  public async start(): Promise<void> {
    this.configuration.start();
    this.directory.start();
    this.crashes.start();
    this.sweeper.start();
    this.sweeping = this.parts.timers.every(SWEEP_MILLISECONDS, () => {
      this.pool.sweep();
    });
    await this.server.listen(this.options.callers);
    await this.readiness.listen(this.options.readiness);
    await this.metricsServer.listen(this.options.metrics);
    this.logger.info({ event: 'started', ...this.ports }, 'the instance serves callers');
  }

  /** Leaves the rotation, answers what is under way, and ends. */
  public async stop(): Promise<void> {
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    this.logger.info({ event: 'stopping', underWay: this.server.requestsInFlight }, 'stopping');
    this.server.announceClose();
    await sleep(this.parts.timers, this.times.drainingMilliseconds);
    await this.server.close(this.times.stopMilliseconds - this.times.drainingMilliseconds);
    this.sweeping?.stop();
    await Promise.race([this.budgets.releaseAll(), sleep(this.parts.timers, RELEASE_MILLISECONDS)]);
    this.configuration.stop();
    this.directory.stop();
    this.crashes.stop();
    this.sweeper.stop();
    this.readiness.close();
    this.metricsServer.close();
    this.logger.info({ event: 'stopped', underWay: this.server.requestsInFlight }, 'stopped');
  }

  private watchStore(table: PartitionedTable, timers: TimerService): WatchedTable {
    return new WatchedTable(table, timers, (call, name, isAnswered, milliseconds) => {
      const outcome = isAnswered ? 'answered' : 'failed';
      this.metrics.storeCalls.inc({ call, outcome, table: name });
      if (call !== 'changes') {
        this.metrics.storeSeconds.observe({ call }, milliseconds / 1_000);
      }
    });
  }

  private makePipeline(): RequestPipeline {
    const { budgets, logger, table } = this;
    const { random, timers, wire } = this.parts;
    return new RequestPipeline({
      budgets,
      configuration: this.configuration,
      crashes: this.crashes,
      keptTurns: new KeptTurns({ logger, rowBytes: this.options.rowBytes, table, timers }),
      logger,
      metrics: this.metrics,
      pool: this.pool,
      rates: new WorkspaceRates({
        holder: this.holder,
        instance: this.options.instance,
        logger,
        random,
        table,
        timers,
      }),
      zoneOutageDetector: this.rotation,
      timers,
      wire,
    });
  }

  private connectionsTo(entry: ReplicaEntry): number {
    const service = this.configuration.current?.findService(entry.service);
    return Math.min(MAXIMUM_CONNECTIONS, service?.maximumConnections ?? MAXIMUM_CONNECTIONS);
  }
}
