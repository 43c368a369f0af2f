import type {
  IncarnationId,
  InstanceId,
  ShardId,
  Logger,
  Metrics,
  TimerService,
  TimerSubscription,
} from '@zincring/core';
import type { Platform } from '@zincring/platform';

import { randomBytes, randomInt } from 'node:crypto';

import { failureText } from '@zincring/core';
import {
  LogSweeper,
  Membership,
  preferredHolder,
  ShardLeases,
  WriteAheadLog,
} from '@zincring/coordination';

import type { ConfigurationFollower } from '../configuration/configurationFollower.js';
import type { UpstreamDispatcher } from '../upstreams/upstreamMessages.js';
import type { ShardHolder } from '../peers/peerGoneProgramFinder.js';
import type { Settings } from './settings.js';

import { CallerRouter } from '../callers/callerRouter.js';
import { CallerServer } from '../callers/callerServer.js';
import { ProgramRoutes } from '../callers/programRoutes.js';
import { ServiceRoutes } from '../callers/serviceRoutes.js';
import { ConfigurationGossip } from '../configuration/configurationGossip.js';
import { createConfigurationFollower } from '../configuration/createConfigurationFollower.js';
import { KeyWatch } from '../configuration/keyWatch.js';
import { FleetAdmission } from '../limits/fleetAdmission.js';
import { InstanceStatus } from '../operators/instanceStatus.js';
import { PeerGoneProgramFinder } from '../peers/peerGoneProgramFinder.js';
import { Heartbeats } from '../peers/heartbeats.js';
import { PeerClients } from '../peers/peerClients.js';
import { PeerServer } from '../peers/peerServer.js';
import { RoutedProgramService } from '../peers/routedProgramService.js';
import { ShardLocations } from '../peers/shardLocations.js';
import { keepNoCopies } from '../programs/copyKeeper.js';
import { OpenProgramCounts } from '../programs/openProgramCounts.js';
import { ProgramHome } from '../programs/programHome.js';
import { HttpEngineControlClient } from '../upstreams/engineControlClient.js';
import { ConnectionCrashProbe } from '../upstreams/crashProbe.js';
import { HttpReplicaSender } from '../upstreams/replicaSender.js';
import { Upstreams } from '../upstreams/upstreams.js';
import { splitAddress } from '../util/splitAddress.js';
import { drain } from './drainSteps.js';
import { InstanceGauges } from './instanceGauges.js';
import { OperatorServer } from './operatorServer.js';

/** Dependencies of an {@link Instance}. */
export interface InstanceDependencies {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const INCARNATION_BYTES = 6;
const MAXIMUM_FIRST_LOAN_ID = 2 ** 47;
const LOG_RETRY_DELAY_MILLISECONDS = 200;
/**
 * Interval at which the holder of the first shard deletes log objects and sessions that are no
 * longer needed, in milliseconds.
 */
const SWEEP_INTERVAL_MILLISECONDS = 60_000;
const FIRST_SHARD = 0 as ShardId;

/** One instance of the scheduler. Creates, connects, starts and stops its components. */
export class Instance {
  private readonly membership: Membership;
  private readonly locations = new ShardLocations(() => this.leases.heldShards);
  private readonly clients = new PeerClients();
  private readonly upstreams: Upstreams;
  private readonly configuration: ConfigurationFollower;
  /** Notifies listeners when an API key is withdrawn. */
  public readonly keyWatch: KeyWatch;
  private readonly log: WriteAheadLog;
  private readonly home: ProgramHome;
  private readonly openPrograms: OpenProgramCounts;
  private readonly leases: ShardLeases;
  private readonly heartbeats: Heartbeats;
  private readonly admission: FleetAdmission;
  private readonly callerServer: CallerServer;
  private readonly operatorStatus: InstanceStatus;
  private readonly peerServer: PeerServer;
  private readonly operatorServer: OperatorServer;
  private readonly gauges: InstanceGauges;
  private renewalTimer: TimerSubscription | undefined;
  private sweepTimer: TimerSubscription | undefined;
  private drainCompletion: Promise<void> | undefined;

  public constructor(private readonly dependencies: InstanceDependencies) {
    const { logger, platform, settings, timers } = dependencies;
    const incarnation = createIncarnation(settings.instance);
    this.membership = new Membership({
      self: settings.instance,
      suspectMilliseconds: settings.suspectMilliseconds,
      timers,
    });
    this.configuration = createConfigurationFollower({
      ...dependencies,
      membership: this.membership,
    });
    this.keyWatch = new KeyWatch({
      follower: this.configuration,
      maximumListeners: settings.maximumKeyListeners,
    });
    this.log = new WriteAheadLog({
      groupMilliseconds: settings.logGroupMilliseconds,
      incarnation,
      logger,
      maximumPending: settings.maximumPendingRecords,
      objects: platform.objects,
      retryMilliseconds: LOG_RETRY_DELAY_MILLISECONDS,
      timers,
    });
    this.upstreams = this.createUpstreams();
    const { dispatcher } = this.upstreams;
    this.home = this.createHome();
    this.openPrograms = new OpenProgramCounts({
      countHere: () => this.home.countOpenByWorkspace(),
      retentionMilliseconds: settings.lease.termMilliseconds,
      timers,
    });
    this.leases = this.createLeases();
    this.heartbeats = this.createHeartbeats();
    this.admission = this.createAdmission();
    this.operatorStatus = this.createOperatorStatus();
    this.peerServer = new PeerServer({
      copies: keepNoCopies,
      findGone: programs => this.home.findGone(programs),
      heartbeats: this.heartbeats,
      home: this.home,
      lender: this.admission,
      operators: this.operatorStatus,
      timers,
    });
    this.callerServer = this.createCallerServer(dispatcher);
    this.gauges = this.createGauges();
    this.operatorServer = new OperatorServer({
      drain: () => void this.stop(),
      isReady: () => this.isReady,
    });
  }

  /** Whether load balancers should send callers' requests to this instance. */
  public get isReady(): boolean {
    return this.configuration.isReady && this.drainCompletion === undefined;
  }

  /** Listens on all addresses and joins the other instances. */
  public async start(): Promise<void> {
    const { settings, timers } = this.dependencies;
    await this.operatorServer.listen(...splitAddress(settings.operatorAddress));
    await this.peerServer.listen(...splitAddress(settings.peerAddress));
    this.configuration.start();
    this.heartbeats.start();
    this.home.start();
    this.sweepTimer = timers.every(SWEEP_INTERVAL_MILLISECONDS, () => {
      this.sweep();
    });
    this.gauges.start();
    this.upstreams.start();
    this.admission.start();
    this.configuration.subscribe(configuration => {
      this.upstreams.updateConfiguration(configuration);
      this.admission.updateConfiguration(configuration);
    });
    this.renewalTimer = timers.every(settings.lease.renewMilliseconds, () => {
      this.renewLeases();
    });
    await this.callerServer.listen(...splitAddress(settings.callerAddress));
    this.dependencies.logger.info({ address: settings.callerAddress }, 'instance started');
  }

  /**
   * Shuts down gracefully: hands over the shards, answers every request, then closes its
   * connections.
   */
  public async stop(): Promise<void> {
    this.drainCompletion ??= this.drain();
    await this.drainCompletion;
  }

  private async drain(): Promise<void> {
    const { logger, metrics, settings, timers } = this.dependencies;
    const startedAt = timers.now();
    await drain(
      {
        announceLeaving: () => {
          this.membership.leave();
          this.heartbeats.sendHeartbeats();
        },
        close: () => {
          metrics.timing('drain.duration', timers.now() - startedAt);
          this.close();
        },
        closeConnectionsAfterResponses: () => {
          this.callerServer.closeConnectionsAfterResponses();
        },
        drainCallers: async () => this.callerServer.drain(),
        drainPeers: async () => this.peerServer.drain(),
        handOver: async () => {
          // Renews leases until the last call has finished: storing its turn needs a valid lease.
          await Promise.all([this.leases.stop(), this.admission.release()]);
          this.renewalTimer?.stop();
        },
      },
      { logger, noticeMilliseconds: settings.drainNoticeMilliseconds, timers },
    );
  }

  private close(): void {
    this.gauges.stop();
    this.sweepTimer?.stop();
    this.home.stop();
    this.admission.close();
    this.configuration.stop();
    this.heartbeats.stop();
    this.upstreams.stop();
    this.log.close();
    this.clients.close();
    this.operatorServer.close();
    this.dependencies.platform.close();
    this.dependencies.metrics.close();
  }

  private renewLeases(): void {
    this.leases.tick().catch((failure: unknown) => {
      this.dependencies.logger.error({ failure: failureText(failure) }, 'lease renewal failed');
    });
  }

  private sweep(): void {
    if (this.leases.status(FIRST_SHARD) !== 'held') {
      return;
    }
    this.leases.endAbandonedSessions().catch((failure: unknown) => {
      this.dependencies.logger.warn({ failure: failureText(failure) }, 'session sweep failed');
    });
    const { objects, table } = this.dependencies.platform;
    const { shardCount } = this.dependencies.settings;
    new LogSweeper({ objects, shardCount, table }).sweep().catch((failure: unknown) => {
      this.dependencies.logger.warn({ failure: failureText(failure) }, 'log sweep failed');
    });
  }

  private createGauges(): InstanceGauges {
    return new InstanceGauges({
      metrics: this.dependencies.metrics,
      readValues: () => ({
        activeCalls: this.callerServer.activeRequestCount,
        alivePeers: this.membership.alive.length,
        heldShards: this.leases.heldShards.length,
        openPrograms: this.home.programCount,
        pendingRecords: this.log.pending,
      }),
      timers: this.dependencies.timers,
    });
  }

  private createHome(): ProgramHome {
    const { logger, platform, settings, timers } = this.dependencies;
    return new ProgramHome({
      configuration: () => this.configuration.current,
      countElsewhere: workspace => this.openPrograms.countElsewhere(workspace),
      dispatcher: this.upstreams.dispatcher,
      endListener: this.upstreams.memoryReleaser,
      keyWatch: this.keyWatch,
      log: this.log,
      logger,
      maximumMailbox: settings.maximumMailbox,
      objects: platform.objects,
      shardCount: settings.shardCount,
      timers,
    });
  }

  private createLeases(): ShardLeases {
    const { logger, platform, settings, timers } = this.dependencies;
    return new ShardLeases({
      address: settings.peerAddress,
      createIncarnation: () => createIncarnation(settings.instance),
      instance: settings.instance,
      logger,
      members: this.membership,
      owner: this.home,
      shardCount: settings.shardCount,
      table: platform.table,
      terms: settings.lease,
      timers,
    });
  }

  private createHeartbeats(): Heartbeats {
    const { logger, platform, settings, timers } = this.dependencies;
    return new Heartbeats({
      clients: this.clients,
      describeSelf: () => ({
        address: settings.peerAddress,
        id: settings.instance,
        incarnation: this.leases.incarnation,
        isLeaving: this.drainCompletion !== undefined,
        zone: settings.zone,
      }),
      directory: platform.directory,
      intervalMilliseconds: settings.heartbeatMilliseconds,
      logger,
      membership: this.membership,
      onDirectoryRead: entries => {
        this.upstreams.updateDirectory(entries);
        this.operatorStatus.updateDirectory(entries);
      },
      participants: [
        this.locations,
        this.openPrograms,
        new ConfigurationGossip(this.configuration),
        ...this.upstreams.gossipParticipants,
      ],
      timers,
    });
  }

  private createOperatorStatus(): InstanceStatus {
    return new InstanceStatus({
      configuration: this.configuration,
      home: this.home,
      incarnation: () => this.leases.incarnation,
      isDraining: () => this.drainCompletion !== undefined,
      isReady: () => this.isReady,
      limits: () => [],
      membership: this.membership,
      settings: this.dependencies.settings,
      shards: () => this.leases.heldShards,
      upstreams: () => this.upstreams.describe(),
    });
  }

  private createCallerServer(dispatcher: UpstreamDispatcher): CallerServer {
    const { logger, settings, timers } = this.dependencies;
    return new CallerServer({
      ...settings,
      logger,
      router: new CallerRouter({
        admission: this.admission,
        bodyLimitBytes: settings.bodyLimitBytes,
        configuration: () => this.configuration.usable,
        keyWatch: this.keyWatch,
        now: () => timers.now(),
        programRoutes: new ProgramRoutes({
          ...settings,
          programs: this.createRoutedProgramService(),
        }),
        serviceRoutes: new ServiceRoutes({ ...settings, dispatcher }),
      }),
      timers,
    });
  }

  private createAdmission(): FleetAdmission {
    const { platform, settings } = this.dependencies;
    return new FleetAdmission({
      ...this.dependencies,
      address: settings.peerAddress,
      clients: this.clients,
      createIncarnation: () => createIncarnation(settings.instance),
      firstLoanId: randomInt(1, MAXIMUM_FIRST_LOAN_ID),
      instance: settings.instance,
      membership: this.membership,
      settings: settings.limits,
      table: platform.table,
    });
  }

  private createUpstreams(): Upstreams {
    const { logger, metrics, settings, timers } = this.dependencies;
    return new Upstreams({
      goneProgramFinder: new PeerGoneProgramFinder({
        clients: this.clients,
        findGoneHere: programs => this.home.findGone(programs),
        holderOf: shard => this.findHolder(shard),
        self: settings.instance,
        shardCount: settings.shardCount,
      }),
      configuration: () => this.configuration.current,
      crashProbe: new ConnectionCrashProbe(timers),
      instances: () => new Set([settings.instance, ...this.membership.alive.map(peer => peer.id)]),
      logger,
      metrics,
      engineControl: new HttpEngineControlClient(),
      self: settings.instance,
      sender: new HttpReplicaSender({
        stallMilliseconds: settings.upstreams.stallMilliseconds,
        timers,
      }),
      settings: settings.upstreams,
      publishGossip: async () => this.heartbeats.exchangeWithPeers(),
      timers,
      zone: settings.zone,
    });
  }

  private findHolder(shard: ShardId): ShardHolder | undefined {
    const { settings } = this.dependencies;
    if (this.leases.status(shard) === 'held') {
      return { address: settings.peerAddress, instance: settings.instance };
    }
    const holder =
      this.locations.holderOf(shard) ?? preferredHolder(shard, this.membership.eligible());
    const peer = holder === undefined ? undefined : this.membership.findAlive(holder as InstanceId);
    return peer === undefined ? undefined : { address: peer.address, instance: peer.id };
  }

  private createRoutedProgramService(): RoutedProgramService {
    const { settings, timers } = this.dependencies;
    return new RoutedProgramService({
      clients: this.clients,
      handoverWaitMilliseconds: settings.handoverWaitMilliseconds,
      home: this.home,
      isHeldHere: shard => this.leases.status(shard) !== 'none',
      locations: this.locations,
      membership: this.membership,
      self: settings.instance,
      shardCount: settings.shardCount,
      timers,
    });
  }
}

function createIncarnation(instance: string): IncarnationId {
  return `${instance}.${randomBytes(INCARNATION_BYTES).toString('hex')}` as IncarnationId;
}
