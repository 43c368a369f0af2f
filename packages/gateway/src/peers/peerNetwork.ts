import type { InstanceId, Logger, TimerService } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { GatewayPeer } from './gatewayPeer.js';

import { OwnerSelector } from './ownerSelector.js';
import { PeerClients } from './peerClients.js';
import { PeerDirectory } from './peerDirectory.js';
import { PeerServer } from './peerServer.js';

/** Dependencies of a {@link PeerNetwork}. */
export interface PeerNetworkDependencies {
  readonly instance: InstanceId;
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
  /** What other instances may ask of this one. */
  readonly self: GatewayPeer;
}

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
  private readonly clients: PeerClients;
  private readonly directory: PeerDirectory;
  private readonly server: PeerServer;

  public constructor({ instance, logger, random, self, table, timers }: PeerNetworkDependencies) {
    this.clients = new PeerClients(logger);
    this.directory = new PeerDirectory({
      connect: address => this.clients.at(address),
      instance,
      logger,
      random,
      retain: addresses => {
        this.clients.retain(addresses);
      },
      table,
      timers,
    });
    this.owners = new OwnerSelector(instance, this.directory, timers, logger);
    this.server = new PeerServer(self, logger);
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

  /** Stops answering other instances. */
  public close(): void {
    this.server.close();
    this.clients.close();
  }
}
