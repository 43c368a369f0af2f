import type {
  AvailabilityZone,
  InstanceId,
  Logger,
  TimerService,
  TimerSubscription,
} from '@zincring/core';
import type { PartitionedTable, RowAddress, RowChange } from '@zincring/platform';

import type { ClockReading } from '../configuration/contactAge.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { GatewayPeer } from './gatewayPeer.js';
import type { Owner, OwnerDirectory } from './ownerSelector.js';

import { elapsedSince, readClocks } from '../configuration/contactAge.js';
import { TableFollower } from '../store/tableFollower.js';
import { isNumber, toFields } from '../util/jsonFields.js';

/** Dependencies of a {@link PeerDirectory}. */
export interface PeerDirectoryDependencies {
  readonly availabilityZone: AvailabilityZone;
  readonly instance: InstanceId;
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Returns the client of the instance at an address. */
  connect(address: string): GatewayPeer;
  /** Closes the connections to all other addresses. */
  retain(addresses: ReadonlySet<string>): void;
}

/** Registration of an instance, as it is stored. */
interface PeerRegistration {
  /** Absent in rows of builds up to 09ca40e. */
  readonly availabilityZone?: AvailabilityZone | undefined;
  /** IP address and port for other instances. */
  readonly address: string;
  /** Time from which the instance counts as gone, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
}

interface RegisteredPeer extends PeerRegistration {
  readonly owner: Owner;
}

/** Table of the registered instances. */
export const PEER_TABLE = 'instances';
/** Partition of the registrations: all instances may register at once and must not delay other rows. */
const PEER_PARTITION = 'instances';
/** Description of the registrations for the removal of expired rows. */
export const sweptPeers: SweptTable = {
  expiresAt: row => parseRegistration(row.value)?.expiresAt ?? 0,
  keysOf: row => [row.key],
  partitions: [PEER_PARTITION],
  table: PEER_TABLE,
};
/** Highest port number. */
const MAXIMUM_PORT = 65_535;
/** Interval at which a registration is renewed, in milliseconds: a renewal is a write, and all instances read it. */
const RENEWAL_INTERVAL_MILLISECONDS = 15_000;
/** Time after which a registration that is not renewed expires, in milliseconds. */
const REGISTRATION_MILLISECONDS = 60_000;
/** Maximum delay of the first registration, in milliseconds, since all instances may start at once. */
const MAXIMUM_START_DELAY_MILLISECONDS = 1_000;
/** Mean interval at which a failed registration is tried again, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 1_000;
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
  private registered: readonly RegisteredPeer[] = [];
  private readonly peers = new Map<string, RegisteredPeer>();
  private readonly follower: TableFollower;
  private renewalTimer: TimerSubscription | undefined;
  /** Time of the last renewal that the store answered, by when it was sent. */
  private renewedAt: ClockReading | undefined;
  private isStopped = false;

  public constructor(private readonly dependencies: PeerDirectoryDependencies) {
    const { logger, table, timers } = dependencies;
    this.changedAt = timers.now();
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
        onSnapshot: rows => {
          this.peers.clear();
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
    return (
      !this.isStopped &&
      this.renewedAt !== undefined &&
      elapsedSince(this.dependencies.timers, this.renewedAt) < REGISTRATION_MILLISECONDS
    );
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
    const startDelay = this.dependencies.random() * MAXIMUM_START_DELAY_MILLISECONDS;
    this.scheduleRenewal(address, startDelay);
  }

  /** Withdraws the registration and stops following the others. */
  public async stop(): Promise<void> {
    this.isStopped = true;
    this.renewalTimer?.stop();
    this.follower.stop();
    const outcome = await this.dependencies.table.transact({
      checks: [],
      removals: [this.address],
      writes: [],
    });
    if (outcome.err) {
      this.logFailure(outcome.val.message);
    }
  }

  private get address(): RowAddress {
    return { key: this.dependencies.instance, partition: PEER_PARTITION, table: PEER_TABLE };
  }

  private scheduleRenewal(address: string, delayMilliseconds: number): void {
    this.renewalTimer = this.dependencies.timers.after(delayMilliseconds, () => {
      void this.renew(address);
    });
  }

  private async renew(address: string): Promise<void> {
    const sentAt = readClocks(this.dependencies.timers);
    const registration: PeerRegistration = {
      address,
      availabilityZone: this.dependencies.availabilityZone,
      expiresAt: this.dependencies.timers.wallClock() + REGISTRATION_MILLISECONDS,
    };
    const outcome = await this.dependencies.table.transact({
      checks: [],
      removals: [],
      writes: [{ ...this.address, value: Buffer.from(JSON.stringify(registration)) }],
    });
    if (outcome.err) {
      this.logFailure(outcome.val.message);
    } else {
      if (!this.isRegistered) {
        this.changedAt = this.dependencies.timers.now();
      }
      this.renewedAt = sentAt;
    }
    if (!this.isStopped) {
      this.scheduleRenewal(
        address,
        outcome.ok
          ? RENEWAL_INTERVAL_MILLISECONDS
          : RETRY_INTERVAL_MILLISECONDS * (0.5 + this.dependencies.random()),
      );
    }
  }

  private applyChange(change: RowChange): void {
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

  private logFailure(failure: string): void {
    this.dependencies.logger.warn(
      { event: 'registration-failed', failure },
      'could not change the registration of this instance',
    );
  }
}

/** Whether a value is a host and a port to which a connection can be opened. */
function isAddress(value: unknown): value is string {
  const port = Number(/^[\w.-]+:(\d{1,5})$/.exec(String(value))?.[1]);
  return typeof value === 'string' && port >= 1 && port <= MAXIMUM_PORT;
}

function parseRegistration(value: Buffer): PeerRegistration | undefined {
  try {
    const { address, availabilityZone: zone, expiresAt } = toFields(JSON.parse(value.toString()));
    const availabilityZone = typeof zone === 'string' ? (zone as AvailabilityZone) : undefined;
    return isAddress(address) && isNumber(expiresAt)
      ? { address, availabilityZone, expiresAt }
      : undefined;
  } catch {
    return undefined;
  }
}
