import type { AvailabilityZone, InstanceId, Logger, Region, TimerService } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';
import type { WorkspaceTurnCounts } from '@zincring/scheduling';

import { sleep } from '@zincring/core';

import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { ListenerContext } from '../listeners/httpListener.js';
import type { EngineLoads } from '../upstreams/load/engineLoads.js';
import type { ReplicaCosts } from '../upstreams/load/replicaCosts.js';
import type { GatewayPeer } from './gatewayPeer.js';
import type { WorkspaceTurnSource } from './peerServer.js';
import type { RelayTarget } from './relayServer.js';

import { isPermittedZone } from '../upstreams/regions/permittedRegions.js';
import { OwnerSelector } from './ownerSelector.js';
import { PeerClients } from './peerClients.js';
import { PeerDirectory } from './peerDirectory.js';
import { PeerServer } from './peerServer.js';
import { RelayCandidates } from './relayCandidates.js';
import { RelayClient } from './relayClient.js';
import { RelayServer } from './relayServer.js';

/** Exchanges the use of the engines by workspace with replies. */
export interface WorkspaceTurnExchange extends WorkspaceTurnSource {
  /** Takes in the use at another instance. */
  recordPeer(counts: WorkspaceTurnCounts): void;
}

/** Dependencies of a {@link PeerNetwork}. */
export interface PeerNetworkDependencies {
  readonly availabilityZone: AvailabilityZone;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<AvailabilityZone, Region>;
  readonly instance: InstanceId;
  /** Identifies this run of the instance; unique among all runs of all instances. */
  readonly run: string;
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly listening: ListenerContext;
  readonly random: () => number;
  /** What other instances may ask of this one. */
  readonly self: GatewayPeer;
  /** Replicas that this instance relays requests of others to. */
  readonly relayTarget: RelayTarget;
  readonly metrics: GatewayMetrics;
  readonly engineLoads: EngineLoads;
  readonly replicaCosts: ReplicaCosts;
  readonly workspaceTurns: WorkspaceTurnExchange;
}

/** Interval at which a stopping instance looks whether it still relays requests, in milliseconds. */
const RELAY_CHECK_MILLISECONDS = 50;

/**
 * Connects this instance with the others: where they listen, what they own, and what they ask.
 *
 * @example
 * const network = new PeerNetwork(dependencies);
 * await network.start({ host: '10.1.0.11', port: 7780 });
 */
export class PeerNetwork {
  /** Chooses the instance that owns a key. */
  public readonly owners: OwnerSelector;
  /** Sends requests to replicas through other instances. */
  public readonly relay: RelayClient;
  private readonly relayServer: RelayServer;
  private readonly timers: TimerService;
  private readonly clients: PeerClients;
  private readonly directory: PeerDirectory;
  private readonly server: PeerServer;

  public constructor(dependencies: PeerNetworkDependencies) {
    const { engineLoads, instance, logger, metrics, random, relayTarget, replicaCosts } =
      dependencies;
    const { self, table, timers, workspaceTurns } = dependencies;
    this.timers = timers;
    this.clients = new PeerClients(
      logger,
      counts => {
        engineLoads.recordPeer(counts);
      },
      reports => {
        replicaCosts.hear(reports);
      },
      counts => {
        workspaceTurns.recordPeer(counts);
      },
    );
    const { availabilityZone, regions } = dependencies;
    this.directory = new PeerDirectory({
      availabilityZone,
      connect: address => this.clients.at(address),
      instance,
      logger,
      random,
      retain: addresses => {
        this.clients.retain(addresses);
      },
      run: dependencies.run,
      table,
      timers,
    });
    this.owners = new OwnerSelector(instance, this.directory, timers, logger);
    this.relayServer = new RelayServer(relayTarget, dependencies.listening);
    this.server = new PeerServer(
      self,
      dependencies.listening,
      this.relayServer,
      engineLoads,
      replicaCosts,
      workspaceTurns,
    );
    const candidates = new RelayCandidates(
      permittedRegions =>
        this.directory.addressesWhere(zone => isPermittedZone(zone, permittedRegions, regions)),
      timers,
      random,
    );
    this.relay = new RelayClient({ candidates, logger, metrics, timers });
  }

  /** Number of other registered instances. */
  public get peerCount(): number {
    return this.directory.owners.length;
  }

  /** Number of requests that this instance relays for others. */
  public get relaysInFlight(): number {
    return this.relayServer.requestsInFlight;
  }

  /** Port for other instances. */
  public get port(): number {
    return this.server.port;
  }

  /** Listens for other instances and registers this one. */
  public async start(address: ListenAddress): Promise<void> {
    await this.server.listen(address);
    this.directory.start(`${address.host}:${String(this.server.port)}`);
  }

  /** Withdraws the registration, so that other instances choose other owners; they are still answered. */
  public async leave(): Promise<void> {
    await this.directory.stop();
  }

  /** Waits until no request is relayed any more or the timeout has passed. */
  public async finishRelays(timeoutMilliseconds: number): Promise<void> {
    const endsAt = this.timers.now() + timeoutMilliseconds;
    while (this.relayServer.requestsInFlight > 0 && this.timers.now() < endsAt) {
      await sleep(this.timers, RELAY_CHECK_MILLISECONDS);
    }
  }

  /** Stops answering other instances. */
  public close(): void {
    this.server.close();
    this.clients.close();
    this.relay.close();
  }
}
