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
import type { ShardHolder } from '../peers/fleetCensus.js';
import type { Settings } from './settings.js';

import { CallerRouter } from '../callers/callerRouter.js';
import { CallerServer } from '../callers/callerServer.js';
import { ProgramRoutes } from '../callers/programRoutes.js';
import { ServiceRoutes } from '../callers/serviceRoutes.js';
import { ConfigurationGossip } from '../configuration/configurationGossip.js';
import { followConfiguration } from '../configuration/followConfiguration.js';
import { KeyWatch } from '../configuration/keyWatch.js';
import { FleetAdmission } from '../limits/fleetAdmission.js';
import { InstanceStatus } from '../operators/instanceStatus.js';
import { FleetCensus } from '../peers/fleetCensus.js';
import { Heartbeats } from '../peers/heartbeats.js';
import { PeerClients } from '../peers/peerClients.js';
import { PeerServer } from '../peers/peerServer.js';
import { RoutedProgramService } from '../peers/routedProgramService.js';
import { ShardLocations } from '../peers/shardLocations.js';
import { keepNoCopies } from '../programs/copyKeeper.js';
import { OpenProgramCounts } from '../programs/openProgramCounts.js';
import { ProgramHome } from '../programs/programHome.js';
import { HttpEngineOrders } from '../upstreams/engineOrders.js';
import { HttpReplicaSender } from '../upstreams/replicaSender.js';
import { Upstreams } from '../upstreams/upstreams.js';
import { splitAddress } from '../util/splitAddress.js';
import { drain } from './drainSteps.js';
import { InstanceGauges } from './instanceGauges.js';
import { OperatorServer } from './operatorServer.js';

/** What an instance is made of. */
export interface InstanceParts {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const INCARNATION_BYTES = 6;
const MAXIMUM_FIRST_LOAN = 2 ** 47;
const LOG_RETRY_MILLISECONDS = 200;
/** How often the holder of the first shard deletes log objects and sessions that nobody needs. */
const SWEEP_MILLISECONDS = 60_000;
const FIRST_SHARD = 0 as ShardId;

/** One running instance: every slice, connected. */
export class Instance {
  private readonly membership: Membership;
  private readonly locations = new ShardLocations(() => this.leases.heldShards);
  private readonly clients = new PeerClients();
  private readonly upstreams: Upstreams;
  private readonly configuration: ConfigurationFollower;
  /** Tells of withdrawn keys. */
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
  private renewals: TimerSubscription | undefined;
  private sweeps: TimerSubscription | undefined;
  private draining: Promise<void> | undefined;

  public constructor(private readonly parts: InstanceParts) {
    const { logger, platform, settings, timers } = parts;
    const incarnation = createIncarnation(settings.instance);
    this.membership = new Membership({
      self: settings.instance,
      suspectMilliseconds: settings.suspectMilliseconds,
      timers,
    });
    this.configuration = followConfiguration({ ...parts, membership: this.membership });
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
      retryMilliseconds: LOG_RETRY_MILLISECONDS,
      timers,
    });
    this.upstreams = this.createUpstreams();
    const { dispatcher } = this.upstreams;
    this.home = this.createHome();
    this.openPrograms = new OpenProgramCounts({
      countHere: () => this.home.countOpenByWorkspace(),
      keepMilliseconds: settings.lease.termMilliseconds,
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

  /** Whether callers' requests are welcome. */
  public get isReady(): boolean {
    return this.configuration.isReady && this.draining === undefined;
  }

  /** Listens and takes part. */
  public async start(): Promise<void> {
    const { settings, timers } = this.parts;
    await this.operatorServer.listen(...splitAddress(settings.operatorAddress));
    await this.peerServer.listen(...splitAddress(settings.peerAddress));
    this.configuration.start();
    this.heartbeats.start();
    this.home.start();
    this.sweeps = timers.every(SWEEP_MILLISECONDS, () => {
      this.sweep();
    });
    this.gauges.start();
    this.upstreams.start();
    this.admission.start();
    this.configuration.subscribe(configuration => {
      this.upstreams.updateConfiguration(configuration);
      this.admission.updateConfiguration(configuration);
    });
    this.renewals = timers.every(settings.lease.renewMilliseconds, () => {
      this.renewLeases();
    });
    await this.callerServer.listen(...splitAddress(settings.callerAddress));
    this.parts.logger.info({ address: settings.callerAddress }, 'instance started');
  }

  /** Shuts down gracefully: hands over the shards, answers every request, then ends. */
  public async stop(): Promise<void> {
    this.draining ??= this.drain();
    await this.draining;
  }

  private async drain(): Promise<void> {
    const { logger, metrics, settings, timers } = this.parts;
    const startedAt = timers.now();
    await drain(
      {
        announce: () => {
          this.membership.leave();
          this.heartbeats.beat();
        },
        close: () => {
          metrics.timing('drain.duration', timers.now() - startedAt);
          this.close();
        },
        closeConnectionsAfterAnswers: () => {
          this.callerServer.closeConnectionsAfterResponses();
        },
        drainCallers: async () => this.callerServer.drain(),
        drainPeers: async () => this.peerServer.drain(),
        handOver: async () => {
          // Renewed until the last call has finished: its turn needs a lease that holds.
          await Promise.all([this.leases.stop(), this.admission.release()]);
          this.renewals?.stop();
        },
      },
      { logger, noticeMilliseconds: settings.drainNoticeMilliseconds, timers },
    );
  }

  private close(): void {
    this.gauges.stop();
    this.sweeps?.stop();
    this.home.stop();
    this.admission.close();
    this.configuration.stop();
    this.heartbeats.stop();
    this.upstreams.stop();
    this.log.close();
    this.clients.close();
    this.operatorServer.close();
    this.parts.platform.close();
    this.parts.metrics.close();
  }

  private renewLeases(): void {
    this.leases.tick().catch((failure: unknown) => {
      this.parts.logger.error({ failure: failureText(failure) }, 'lease renewal failed');
    });
  }

  private sweep(): void {
    if (this.leases.status(FIRST_SHARD) !== 'held') {
      return;
    }
    this.leases.endAbandonedSessions().catch((failure: unknown) => {
      this.parts.logger.warn({ failure: failureText(failure) }, 'session sweep failed');
    });
    const { objects, table } = this.parts.platform;
    const { shardCount } = this.parts.settings;
    new LogSweeper({ objects, shardCount, table }).sweep().catch((failure: unknown) => {
      this.parts.logger.warn({ failure: failureText(failure) }, 'log sweep failed');
    });
  }

  private createGauges(): InstanceGauges {
    return new InstanceGauges({
      metrics: this.parts.metrics,
      read: () => ({
        activeCalls: this.callerServer.activeRequestCount,
        alivePeers: this.membership.alive.length,
        heldShards: this.leases.heldShards.length,
        openPrograms: this.home.programCount,
        pendingRecords: this.log.pending,
      }),
      timers: this.parts.timers,
    });
  }

  private createHome(): ProgramHome {
    const { logger, platform, settings, timers } = this.parts;
    return new ProgramHome({
      configuration: () => this.configuration.current,
      countElsewhere: workspace => this.openPrograms.countElsewhere(workspace),
      dispatcher: this.upstreams.dispatcher,
      endListener: this.upstreams.memory,
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
    const { logger, platform, settings, timers } = this.parts;
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
    const { logger, platform, settings, timers } = this.parts;
    return new Heartbeats({
      clients: this.clients,
      describeSelf: () => ({
        address: settings.peerAddress,
        id: settings.instance,
        incarnation: this.leases.incarnation,
        isLeaving: this.draining !== undefined,
        zone: settings.zone,
      }),
      directory: platform.directory,
      intervalMilliseconds: settings.heartbeatMilliseconds,
      logger,
      membership: this.membership,
      onDirectory: entries => {
        this.upstreams.updateDirectory(entries);
        this.operatorStatus.updateDirectory(entries);
      },
      participants: [
        this.locations,
        this.openPrograms,
        new ConfigurationGossip(this.configuration),
        ...this.upstreams.participants,
      ],
      timers,
    });
  }

  private createOperatorStatus(): InstanceStatus {
    return new InstanceStatus({
      configuration: this.configuration,
      home: this.home,
      incarnation: () => this.leases.incarnation,
      isDraining: () => this.draining !== undefined,
      isReady: () => this.isReady,
      limits: () => [],
      membership: this.membership,
      settings: this.parts.settings,
      shards: () => this.leases.heldShards,
      upstreams: () => this.upstreams.describe(),
    });
  }

  private createCallerServer(dispatcher: UpstreamDispatcher): CallerServer {
    const { logger, settings, timers } = this.parts;
    return new CallerServer({
      ...settings,
      logger,
      router: new CallerRouter({
        admission: this.admission,
        bodyLimitBytes: settings.bodyLimitBytes,
        configuration: () => this.configuration.usable,
        keyWatch: this.keyWatch,
        now: () => timers.now(),
        programRoutes: new ProgramRoutes({ ...settings, programs: this.createRouting() }),
        serviceRoutes: new ServiceRoutes({ ...settings, dispatcher }),
      }),
      timers,
    });
  }

  private createAdmission(): FleetAdmission {
    const { platform, settings } = this.parts;
    return new FleetAdmission({
      ...this.parts,
      address: settings.peerAddress,
      clients: this.clients,
      createIncarnation: () => createIncarnation(settings.instance),
      firstLoan: randomInt(1, MAXIMUM_FIRST_LOAN),
      instance: settings.instance,
      membership: this.membership,
      settings: settings.limits,
      table: platform.table,
    });
  }

  private createUpstreams(): Upstreams {
    const { logger, metrics, settings, timers } = this.parts;
    return new Upstreams({
      census: new FleetCensus({
        clients: this.clients,
        findGoneHere: programs => this.home.findGone(programs),
        holderOf: shard => this.findHolder(shard),
        self: settings.instance,
        shardCount: settings.shardCount,
      }),
      configuration: () => this.configuration.current,
      instances: () => new Set([settings.instance, ...this.membership.alive.map(peer => peer.id)]),
      logger,
      metrics,
      orders: new HttpEngineOrders(),
      self: settings.instance,
      sender: new HttpReplicaSender({
        stallMilliseconds: settings.upstreams.stallMilliseconds,
        timers,
      }),
      settings: settings.upstreams,
      spreadNews: async () => this.heartbeats.spread(),
      timers,
      zone: settings.zone,
    });
  }

  private findHolder(shard: ShardId): ShardHolder | undefined {
    const { settings } = this.parts;
    if (this.leases.status(shard) === 'held') {
      return { address: settings.peerAddress, instance: settings.instance };
    }
    const holder =
      this.locations.holderOf(shard) ?? preferredHolder(shard, this.membership.eligible());
    const peer = holder === undefined ? undefined : this.membership.findAlive(holder as InstanceId);
    return peer === undefined ? undefined : { address: peer.address, instance: peer.id };
  }

  private createRouting(): RoutedProgramService {
    const { settings, timers } = this.parts;
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
