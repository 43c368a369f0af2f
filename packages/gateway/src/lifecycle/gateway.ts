import type { Logger, TimerSubscription } from '@zincring/core';

import { WorkspaceShares } from '@zincring/scheduling';

import type { GatewayPeer } from '../peers/gatewayPeer.js';
import type { ReplicaEntry } from '../upstreams/replica.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { GatewayDependencies, GatewayPorts } from './gatewayDependencies.js';
import type { GatewayOptions, GatewayTimes } from './gatewayOptions.js';

import type { ListenerContext } from '../listeners/httpListener.js';

import { createListenerContext } from '../listeners/createListenerContext.js';
import { GatewayServer } from '../callers/gatewayServer.js';
import { RequestPipeline } from '../callers/requestPipeline.js';
import { ConfigurationFollower } from '../configuration/configurationFollower.js';
import { RowSweeper } from '../store/rowSweeper.js';
import { DelegatedCreditSource } from '../limits/delegatedCreditSource.js';
import { StoreCreditSource } from '../limits/storeCreditSource.js';
import { WorkspaceRates } from '../limits/workspaceRates.js';
import { PeerNetwork } from '../peers/peerNetwork.js';
import { TurnStore } from '../programs/turnStore.js';
import { DelegatedTokenAccounts } from '../programs/delegatedTokenAccounts.js';
import { OwnedTokenAccounts } from '../programs/ownedTokenAccounts.js';
import { StoreTokenAccounts } from '../programs/storeTokenAccounts.js';
import { TurnBudgets } from '../programs/turnBudgets.js';
import {
  defaultRateLimitedLoggerOptions,
  RateLimitedLogger,
} from '../observation/rateLimitedLogger.js';
import { GatewayMetrics } from '../observation/gatewayMetrics.js';
import { instrumentTable } from '../observation/instrumentTable.js';
import { MetricsServer } from '../observation/metricsServer.js';
import { StoreCallReporter } from '../observation/storeCallReporter.js';
import { CrashRecord } from '../upstreams/crashRecord.js';
import { CrashTrials } from '../upstreams/crashTrials.js';
import { EngineLoads } from '../upstreams/load/engineLoads.js';
import { ReplicaCosts } from '../upstreams/load/replicaCosts.js';
import { ProgramAdmission } from '../upstreams/load/programAdmission.js';
import { WorkspaceWeights } from '../upstreams/load/workspaceWeights.js';
import { ReplicaDirectory } from '../upstreams/replicaDirectory.js';
import { ReplicaNetwork } from '../upstreams/replicaNetwork.js';
import { StreamOrigins } from '../upstreams/streamOrigins.js';
import { VersionHistory } from '../upstreams/versionHistory.js';
import { VersionRecord } from '../upstreams/versionRecord.js';
import { deriveGatewayTimes } from './gatewayOptions.js';
import { GatewayStopSteps } from './gatewayStopSteps.js';
import { PlannedStop } from './plannedStop.js';
import { ReadinessServer } from './readinessServer.js';
import { sweptTables } from './sweptTables.js';
import { ZoneOutageDetector } from './zoneOutageDetector.js';

/** Maximum time that one request to the store waits for changes of replicas, in milliseconds: one heartbeat. */
const REPLICA_POLL_TIMEOUT_MILLISECONDS = 1_000;
/** Time that replicas need to register again after an outage of the store, in milliseconds: stated by the platform. */
const REPLICA_REREGISTRATION_MILLISECONDS = 1_900;
/** Minimum duration of an outage of the store after which entries of replicas may have expired, in milliseconds: longer than one heartbeat. */
const MINIMUM_OUTAGE_MILLISECONDS = 2_500;
/** Interval at which connections to removed replicas are closed, in milliseconds. */
const REPLICA_SWEEP_INTERVAL_MILLISECONDS = 1_000;
/** Time without an answer of the store after which callers should use another instance, in milliseconds: longer than one wait for changes. */
const MAXIMUM_STORE_SILENCE_MILLISECONDS = 1_600;
/** Maximum number of connections from one instance to one replica. */
const MAXIMUM_CONNECTIONS_PER_REPLICA = 16;

/**
 * An instance that serves each request where it arrives. It follows the configuration and the list
 * of replicas in the store and does not depend on other instances.
 *
 * @example
 * const gateway = new Gateway(options, dependencies);
 * await gateway.start();
 */
export class Gateway {
  private readonly configuration: ConfigurationFollower;
  private readonly replicas: ReplicaDirectory;
  private readonly crashes: CrashRecord;
  private readonly replicaNetwork: ReplicaNetwork;
  private readonly versions: VersionHistory;
  private readonly versionRecord: VersionRecord;
  private readonly server: GatewayServer;
  private readonly readiness: ReadinessServer;
  private readonly zoneOutageDetector = new ZoneOutageDetector();
  private readonly times: GatewayTimes;
  private readonly metrics = new GatewayMetrics();
  private readonly metricsServer: MetricsServer;
  private readonly logger: Logger;
  private readonly storeCallReporter: StoreCallReporter;
  private readonly table: MonitoredTable;
  private readonly budgets: TurnBudgets;
  private readonly credits: StoreCreditSource;
  private readonly tokenAccounts: StoreTokenAccounts;
  private readonly engineLoads: EngineLoads;
  private readonly listening: ListenerContext;
  private readonly replicaCosts: ReplicaCosts;
  private readonly programAdmission: ProgramAdmission;
  private readonly peers: PeerNetwork;
  /** Identifies this run of the instance as a holder of tokens and credit; unique among all runs of all instances. */
  private readonly holder: string;
  private readonly rowSweeper: RowSweeper;
  private replicaSweepTimer: TimerSubscription | undefined;
  private readonly pipeline: RequestPipeline;
  private readonly plannedStop: PlannedStop;
  /** Resolves when the start has ended, successfully or not. */
  private completedStart: Promise<void> = Promise.resolve();

  public constructor(
    private readonly options: GatewayOptions,
    private readonly dependencies: GatewayDependencies,
  ) {
    const { timers } = dependencies;
    const logger = new RateLimitedLogger(
      dependencies.logger,
      timers,
      defaultRateLimitedLoggerOptions,
    );
    this.logger = logger;
    this.storeCallReporter = new StoreCallReporter(timers, logger);
    this.table = instrumentTable(dependencies.table, {
      metrics: this.metrics,
      random: dependencies.random,
      reporter: this.storeCallReporter,
      timers,
    });
    const { table } = this;
    this.times = deriveGatewayTimes(options);
    this.plannedStop = new PlannedStop(timers, this.times);
    this.listening = createListenerContext(options, { logger, metrics: this.metrics, timers });
    this.metricsServer = new MetricsServer(this.metrics, this.listening);
    this.configuration = this.makeConfiguration();
    this.replicas = this.makeReplicas();
    this.versions = new VersionHistory(this.replicas, timers);
    const { makeId, random } = dependencies;
    const versionDependencies = { logger, random, table, timers, versions: this.versions };
    this.versionRecord = new VersionRecord(versionDependencies);
    this.crashes = new CrashRecord({ logger, table: table.essential, timers });
    this.holder = `${options.instance}/${makeId()}`;
    const ownership = { holder: this.holder, logger, random, table, timers };
    this.credits = new StoreCreditSource(ownership);
    this.tokenAccounts = new StoreTokenAccounts(ownership);
    this.engineLoads = new EngineLoads({ countPeers: () => this.peers.peerCount, timers });
    this.replicaCosts = new ReplicaCosts({ logger, metrics: this.metrics, timers });
    this.programAdmission = this.makeProgramAdmission();
    this.peers = this.makePeers();
    this.replicaNetwork = this.makeReplicaNetwork();
    this.budgets = this.makeBudgets();
    this.rowSweeper = new RowSweeper({ logger, random, table, timers }, sweptTables);
    this.pipeline = this.makePipeline();
    this.server = new GatewayServer({
      ...this.listening,
      hasStoreContact: () => this.hasStoreContact,
      pipeline: this.pipeline,
      zoneOutageDetector: this.zoneOutageDetector,
      headerCodec: dependencies.headerCodec,
    });
    const { listening, zoneOutageDetector } = this;
    this.readiness = new ReadinessServer(() => this.isReady, zoneOutageDetector, listening);
    this.configuration.subscribe(index => {
      this.server.applyLimits(index.configuration.callerLimits);
    });
  }

  /** Whether the load balancer should send callers to this instance. */
  public get isReady(): boolean {
    return !this.plannedStop.isBegun && this.hasStoreContact;
  }

  /**
   * Whether the configuration, the replicas and the store are known to be current enough to go on
   * serving requests with a key. It turns false before such requests must be refused, since the
   * load balancer needs two seconds to redirect callers.
   */
  private get hasStoreContact(): boolean {
    return (
      this.configuration.isFresh() &&
      this.replicas.isLoaded &&
      this.table.millisecondsSinceAnswer() < MAXIMUM_STORE_SILENCE_MILLISECONDS
    );
  }

  /** Ports for callers, metrics and readiness checks. */
  public get ports(): GatewayPorts {
    return {
      callers: this.server.port,
      metrics: this.metricsServer.port,
      peers: this.peers.port,
      readiness: this.readiness.port,
    };
  }

  /** Starts to follow the store and to listen. */
  public async start(): Promise<void> {
    this.configuration.start();
    this.replicas.start();
    this.crashes.start();
    this.versionRecord.start();
    this.rowSweeper.start();
    this.storeCallReporter.start();
    this.replicaSweepTimer = this.dependencies.timers.every(
      REPLICA_SWEEP_INTERVAL_MILLISECONDS,
      () => {
        this.replicaNetwork.sweep();
        this.metrics.heldBytes.set(
          this.listening.memory.bytes + this.listening.responseMemory.bytes,
        );
        this.listening.checks.run(this.dependencies.timers.now());
        this.reportInFlight();
      },
    );
    const start = this.listen();
    // The caller of this function gets the failure.
    this.completedStart = start.catch(() => undefined);
    await start;
  }

  /** Reports itself unready, completes the requests in flight within the grace period, and stops. */
  public async stop(): Promise<void> {
    const { logger, peers, pipeline, server, tokenAccounts } = this;
    const { timers } = this.dependencies;
    await this.plannedStop.run(
      new GatewayStopSteps({
        close: () => {
          this.close();
        },
        finishStart: async () => {
          await this.completedStart;
        },
        logger,
        peers,
        pipeline,
        server,
        stopReplicas: () => {
          this.replicaSweepTimer?.stop();
          this.replicaNetwork.stop();
        },
        timers,
        tokenAccounts,
      }),
    );
  }

  private async listen(): Promise<void> {
    await this.server.listen(this.options.callers);
    await this.readiness.listen(this.options.readiness);
    await this.metricsServer.listen(this.options.metrics);
    await this.peers.start(this.options.peers);
    this.logger.info({ event: 'started', ...this.ports }, 'listening for callers');
  }

  private close(): void {
    this.configuration.stop();
    this.replicas.stop();
    this.crashes.stop();
    this.versionRecord.stop();
    this.rowSweeper.stop();
    this.storeCallReporter.stop();
    this.peers.close();
    this.readiness.close();
    this.metricsServer.close();
  }

  private reportInFlight(): void {
    const { inFlight } = this.metrics;
    inFlight.set({ counter: 'callers' }, this.server.requestsInFlight);
    inFlight.set({ counter: 'engines' }, this.engineLoads.countInFlight());
    inFlight.set({ counter: 'relays' }, this.peers.relaysInFlight);
    inFlight.set({ counter: 'replicas' }, this.replicaNetwork.pool.loads.countInFlight());
  }

  private makeConfiguration(): ConfigurationFollower {
    const { configurationSource, timers } = this.dependencies;
    const { configurationPollTimeoutMilliseconds, freshMilliseconds } = this.times;
    return new ConfigurationFollower(
      this.table.essential,
      configurationSource,
      timers,
      this.logger,
      {
        freshMilliseconds,
        usableMilliseconds: this.options.staleConfigurationMilliseconds,
        waitMilliseconds: configurationPollTimeoutMilliseconds,
      },
    );
  }

  private makeReplicas(): ReplicaDirectory {
    const { replicaSource, timers } = this.dependencies;
    return new ReplicaDirectory(this.table.essential, replicaSource, timers, this.logger, {
      minimumOutageMilliseconds: MINIMUM_OUTAGE_MILLISECONDS,
      pauseMilliseconds: this.times.replicaPollIntervalMilliseconds,
      registrationGraceMilliseconds: REPLICA_REREGISTRATION_MILLISECONDS,
      waitMilliseconds: REPLICA_POLL_TIMEOUT_MILLISECONDS,
    });
  }

  private makePeers(): PeerNetwork {
    const { credits, logger, table } = this;
    const { random, timers } = this.dependencies;
    const owned = new OwnedTokenAccounts(this.tokenAccounts, timers);
    const self: GatewayPeer = {
      acquireOwned: async bucket => await credits.acquireOwned(bucket),
      acquirePermit: async request => await this.replicaNetwork.ownedPermits.acquirePermit(request),
      reportRate: async report => await this.replicaNetwork.ownedPermits.reportRate(report),
      reserveOwned: async demand => await owned.reserveOwned(demand),
      settleOwned: async (reservation, deliveredTokens) =>
        await owned.settleOwned(reservation, deliveredTokens),
    };
    return new PeerNetwork({
      availabilityZone: this.options.availabilityZone,
      regions: this.options.regions,
      engineLoads: this.engineLoads,
      replicaCosts: this.replicaCosts,
      workspaceTurns: this.programAdmission,
      instance: this.options.instance,
      listening: this.listening,
      logger,
      metrics: this.metrics,
      random,
      relayTarget: {
        accept: run => this.replicaNetwork.relayTarget.accept(run),
        exchange: async (entry, request) =>
          await this.replicaNetwork.relayTarget.exchange(entry, request),
      },
      run: this.holder,
      self,
      table: table.essential,
      timers,
    });
  }

  private makeReplicaNetwork(): ReplicaNetwork {
    const { headerCodec, random, timers } = this.dependencies;
    return new ReplicaNetwork({
      areEnginesContended: () => this.programAdmission.isContended,
      availabilityZone: this.options.availabilityZone,
      coldRateBound: this.options.coldRateBound,
      costs: this.replicaCosts,
      crashRecord: this.crashes,
      directory: this.replicas,
      findWarmUp: service => this.configuration.current?.findService(service)?.warmUp,
      getMaximumConnections: entry => this.getMaximumConnections(entry),
      headerCodec,
      isStopping: () => this.plannedStop.isBegun,
      logger: this.logger,
      metrics: this.metrics,
      owners: this.peers.owners,
      random,
      regions: this.options.regions,
      relay: this.peers.relay,
      timers,
      zones: this.configuration.evacuatedZones,
    });
  }

  private makeBudgets(): TurnBudgets {
    const { holder, logger, table } = this;
    const { timers } = this.dependencies;
    const accounts = new DelegatedTokenAccounts({
      local: this.tokenAccounts,
      logger,
      owners: this.peers.owners,
      timers,
    });
    return new TurnBudgets({ accounts, holder, logger, table, timers });
  }

  private makeProgramAdmission(): ProgramAdmission {
    const { logger, metrics } = this;
    const { random, timers } = this.dependencies;
    const { evacuatedZones } = this.configuration;
    const weights = new WorkspaceWeights(() => this.configuration.current?.configuration);
    return new ProgramAdmission({
      countPeers: () => this.peers.peerCount,
      estimateTurns: service => this.engineLoads.estimateTurns(service),
      findReplicas: service =>
        this.replicas
          .findReplicas(service)
          .filter(({ availabilityZone: zone }) => !evacuatedZones.isEvacuated(zone)),
      isStopping: () => this.plannedStop.isBegun,
      logger,
      metrics,
      random,
      shares: new WorkspaceShares({ timers, weightOf: name => weights.weightOf(name) }),
      timers,
    });
  }

  private makeRates(): WorkspaceRates {
    const { timers } = this.dependencies;
    const { credits: local, peers } = this;
    const credits = new DelegatedCreditSource({ local, owners: peers.owners, timers });
    const rates = new WorkspaceRates(this.options.instance, credits, timers);
    this.configuration.subscribe(index => {
      rates.recordWorkspaces(index.configuration.workspaces ?? []);
    });
    return rates;
  }

  private makePipeline(): RequestPipeline {
    const { budgets, logger, replicaNetwork, table, versionRecord, versions } = this;
    const { headerCodec, makeId, random, timers } = this.dependencies;
    return new RequestPipeline({
      budgets,
      configuration: this.configuration,
      crashTrials: new CrashTrials({
        logger,
        makeId,
        random,
        record: this.crashes,
        table: table.essential,
        timers,
      }),
      engineLoads: this.engineLoads,
      programAdmission: this.programAdmission,
      crashes: replicaNetwork.crashes,
      turnStore: new TurnStore({ logger, random, rowBytes: this.options.rowBytes, table, timers }),
      logger,
      memory: this.listening.memory,
      pacer: this.listening.pacer,
      responseMemory: this.listening.responseMemory,
      metrics: this.metrics,
      plannedStop: this.plannedStop,
      announcements: replicaNetwork.announcements,
      permits: replicaNetwork.permits,
      pool: replicaNetwork.pool,
      transport: replicaNetwork.transport,
      rates: this.makeRates(),
      streamOrigins: new StreamOrigins({ logger, table, timers, versionRecord, versions }),
      zoneOutageDetector: this.zoneOutageDetector,
      timers,
      headerCodec,
    });
  }

  private getMaximumConnections(entry: ReplicaEntry): number {
    const service = this.configuration.current?.findService(entry.service);
    return Math.min(
      MAXIMUM_CONNECTIONS_PER_REPLICA,
      service?.maximumConnections ?? MAXIMUM_CONNECTIONS_PER_REPLICA,
    );
  }
}
