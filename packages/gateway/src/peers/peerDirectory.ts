import type { AvailabilityZone, InstanceId, Logger, TimerService } from '@zincring/core';
import type { PartitionedTable, RowChange } from '@zincring/platform';

import type { GatewayPeer } from './gatewayPeer.js';
import type { Owner, OwnerDirectory } from './ownerSelector.js';
import type { PeerRegistration } from './registrationRow.js';

import { TableFollower } from '../store/tableFollower.js';
import { OwnRegistration } from './ownRegistration.js';
import { parseRegistration, PEER_PARTITION, PEER_TABLE } from './registrationRow.js';

/** Dependencies of a {@link PeerDirectory}. */
export interface PeerDirectoryDependencies {
  readonly availabilityZone: AvailabilityZone;
  readonly instance: InstanceId;
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Identifies this run of the instance; unique among all runs of all instances. */
  readonly run: string;
  /** Returns the client of the instance at an address. */
  connect(address: string): GatewayPeer;
  /** Closes the connections to all other addresses. */
  retain(addresses: ReadonlySet<string>): void;
}

interface RegisteredPeer extends PeerRegistration {
  readonly owner: Owner;
}

/** Maximum wait of a poll for changes, in milliseconds. */
const POLL_WAIT_MILLISECONDS = 2_000;
/** Pause after a poll that returned changes, in milliseconds: every instance reads every registration, so they are read in batches. */
const POLL_PAUSE_MILLISECONDS = 2_000;
/** Initial backoff after a failed poll, in milliseconds. */
const INITIAL_BACKOFF_MILLISECONDS = 200;

/**
 * Registers this instance in the store and follows the registrations of the others. A registration
 * says where an instance listens, not that it is alive: whoever calls it must expect no response.
 *
 * @example
 * directory.start('10.1.0.11:7780');
 * directory.owners.length; // 86 of 87 instances
 */
export class PeerDirectory implements OwnerDirectory {
  public owners: readonly Owner[] = [];
  public changedAt: number;
  public registeredAt: number;
  private registered: readonly RegisteredPeer[] = [];
  private readonly peers = new Map<string, RegisteredPeer>();
  private readonly follower: TableFollower;
  private readonly registration: OwnRegistration;

  public constructor(private readonly dependencies: PeerDirectoryDependencies) {
    const { logger, table, timers } = dependencies;
    this.changedAt = timers.now();
    this.registeredAt = this.changedAt;
    this.registration = new OwnRegistration({
      ...dependencies,
      onRegistered: () => {
        this.changedAt = timers.now();
        this.registeredAt = this.changedAt;
      },
    });
    this.follower = new TableFollower(
      table,
      timers,
      logger,
      {
        initialBackoffMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
        partition: PEER_PARTITION,
        pauseMilliseconds: POLL_PAUSE_MILLISECONDS,
        table: PEER_TABLE,
        waitMilliseconds: POLL_WAIT_MILLISECONDS,
      },
      {
        onChanges: changes => {
          changes.forEach(change => {
            this.applyChange(change);
          });
          this.updateOwners();
        },
        onSnapshot: (rows, version) => {
          this.peers.clear();
          this.registration.observe(
            rows.find(({ key }) => key === dependencies.instance),
            version,
          );
          rows.forEach(row => {
            this.applyRegistration(row.key, row.value);
          });
          this.updateOwners();
        },
      },
    );
  }

  /** Whether the registration of this instance has been stored and has not expired. */
  public get isRegistered(): boolean {
    return this.registration.isValid;
  }

  /** Time since the list was last known to be current, in milliseconds. */
  public ageMilliseconds(): number {
    return this.follower.contactMilliseconds();
  }

  /** Returns the addresses of the other registered instances whose availability zone, if it is known, fulfils a condition. */
  public addressesWhere(
    condition: (zone: AvailabilityZone | undefined) => boolean,
  ): readonly string[] {
    return this.registered.flatMap(({ address, availabilityZone }) =>
      condition(availabilityZone) ? [address] : [],
    );
  }

  /** Registers this instance at its address and starts to follow the others. */
  public start(address: string): void {
    this.follower.start();
    this.registration.start(address);
  }

  /** Withdraws the registration and stops following the others. */
  public async stop(): Promise<void> {
    this.follower.stop();
    await this.registration.stop();
  }

  private applyChange(change: RowChange): void {
    if (change.row.key === this.dependencies.instance) {
      if (change.kind === 'written') {
        this.registration.observe(change.row, change.row.version);
      } else {
        this.registration.observe(undefined, change.version);
      }
      return;
    }
    if (change.kind === 'written') {
      this.applyRegistration(change.row.key, change.row.value);
      return;
    }
    this.peers.delete(change.row.key);
  }

  private applyRegistration(key: string, value: Buffer): void {
    const registration = parseRegistration(value);
    if (key === this.dependencies.instance || registration === undefined) {
      return;
    }
    const known = this.peers.get(key);
    const owner =
      known?.address === registration.address
        ? known.owner
        : { instance: key as InstanceId, peer: this.dependencies.connect(registration.address) };
    this.peers.set(key, { ...registration, owner });
  }

  private updateOwners(): void {
    const now = this.dependencies.timers.wallClock();
    const registered = [...this.peers.values()].filter(({ expiresAt }) => expiresAt > now);
    const owners = registered.map(({ owner }) => owner);
    const isUnchanged =
      owners.length === this.owners.length &&
      owners.every((owner, index) => owner === this.owners[index]);
    if (isUnchanged) {
      return;
    }
    this.owners = owners;
    this.changedAt = this.dependencies.timers.now();
    this.registered = registered;
    this.dependencies.retain(new Set(registered.map(({ address }) => address)));
    this.dependencies.logger.info(
      { event: 'peers-changed', peers: owners.length },
      'the registered instances changed',
    );
  }
}
