import type {
  AvailabilityZone,
  InstanceId,
  Logger,
  Result,
  TimerService,
  TimerSubscription,
} from '@zincring/core';
import type { PartitionedTable, PlatformError, RowAddress } from '@zincring/platform';

import type { ClockReading } from '../configuration/contactAge.js';
import type { EditedRow, KnownRow, RowEdit } from '../store/editRow.js';

import { elapsedSince, readClocks } from '../configuration/contactAge.js';
import { absentRow, editRow } from '../store/editRow.js';
import {
  encodeRegistration,
  PEER_PARTITION,
  PEER_TABLE,
  REGISTRATION_MILLISECONDS,
  parseRegistration,
} from './registrationRow.js';

/** Dependencies of an {@link OwnRegistration}. */
export interface OwnRegistrationDependencies {
  readonly availabilityZone: AvailabilityZone;
  readonly instance: InstanceId;
  /** Identifies this run of the instance; unique among all runs of all instances. */
  readonly run: string;
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Called when the registration has been stored and was not before. */
  readonly onRegistered: () => void;
}

/** Interval at which a registration is renewed, in milliseconds: a renewal is a write, and all instances read it. */
const RENEWAL_INTERVAL_MILLISECONDS = 15_000;
/** Maximum delay of the first registration, in milliseconds, since all instances may start at once. */
const MAXIMUM_START_DELAY_MILLISECONDS = 1_000;
/** Mean interval at which a failed registration is tried again, and the least one after a lost registration, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 1_000;

/** Number of failures up to which the end of a registration is written again: it is not renewed later. */
const MAXIMUM_STOP_FAILURES = 2;

type EditOutcome = Result<EditedRow<undefined>, PlatformError>;

/**
 * Registration of this run of an instance. All writes are conditional on the version of the row that they replace, so that one which
 * is performed late, also by an earlier run of the same instance, changes nothing. A registration that is removed or
 * replaced nevertheless is written again.
 *
 * @example
 * registration.start('10.1.0.11:7780');
 * registration.observe(undefined, 17); // the row was removed
 */
export class OwnRegistration {
  private row: KnownRow = absentRow;
  /** Latest version of the table at which the row is known. */
  private knownVersion = 0;
  private location: string | undefined;
  private hasSent = false;
  private isRenewing = false;
  private isStopped = false;
  private renewalTimer: TimerSubscription | undefined;
  /** Time of the last renewal that the store answered, by when it was sent. */
  private renewedAt: ClockReading | undefined;
  private lostAt = -Infinity;

  public constructor(private readonly dependencies: OwnRegistrationDependencies) {}

  /** Whether the registration is stored, as far as this instance knows, and has not expired. */
  public get isValid(): boolean {
    return (
      !this.isStopped &&
      this.renewedAt !== undefined &&
      elapsedSince(this.dependencies.timers, this.renewedAt) < REGISTRATION_MILLISECONDS
    );
  }

  /** Registers this instance at its location, an IP address and port, and renews the registration. */
  public start(location: string): void {
    this.location = location;
    this.scheduleRenewal(this.dependencies.random() * MAXIMUM_START_DELAY_MILLISECONDS);
  }

  /** Takes in the row, `undefined` if it is absent, as it was at a version of the table. */
  public observe(row: KnownRow | undefined, version: number): void {
    if (this.isStopped || version <= this.knownVersion) {
      return;
    }
    this.knownVersion = version;
    this.row = row ?? absentRow;
    if (this.hasSent && !this.isOwn(this.row)) {
      this.recordLoss(row === undefined);
    }
  }

  /**
   * Marks the registration as ended. The row stays for a time: an earlier write that is performed late finds
   * a version that it does not expect.
   */
  public async stop(): Promise<void> {
    this.isStopped = true;
    this.renewalTimer?.stop();
    if (!this.hasSent) {
      return;
    }
    const outcome = await this.edit(row =>
      row.value === undefined || this.isOwn(row) ? this.makeWrite(0) : leave,
    );
    if (outcome.err) {
      this.logFailure(outcome.val.message);
    }
  }

  private get address(): RowAddress {
    return { key: this.dependencies.instance, partition: PEER_PARTITION, table: PEER_TABLE };
  }

  private recordLoss(isRemoved: boolean): void {
    const now = this.dependencies.timers.now();
    const wasValid = this.isValid;
    this.renewedAt = undefined;
    if (wasValid) {
      this.dependencies.logger.warn(
        { event: 'registration-lost', isRemoved },
        'the registration of this instance was removed or replaced; it is written again',
      );
    }
    const isRepeated = now - this.lostAt < RETRY_INTERVAL_MILLISECONDS;
    this.lostAt = now;
    this.scheduleRenewal(isRepeated ? RETRY_INTERVAL_MILLISECONDS : 0);
  }

  private scheduleRenewal(delayMilliseconds: number): void {
    this.renewalTimer?.stop();
    this.renewalTimer = this.dependencies.timers.after(delayMilliseconds, () => {
      void this.renew();
    });
  }

  private async renew(): Promise<void> {
    if (this.isRenewing || this.isStopped) {
      return;
    }
    this.isRenewing = true;
    const { timers } = this.dependencies;
    const sentAt = readClocks(timers);
    const outcome = await this.edit(() =>
      this.isStopped ? leave : this.makeWrite(timers.wallClock() + REGISTRATION_MILLISECONDS),
    );
    this.isRenewing = false;
    this.recordRenewal(outcome, sentAt);
  }

  private recordRenewal(outcome: EditOutcome, sentAt: ClockReading): void {
    if (this.isStopped) {
      return;
    }
    if (outcome.err) {
      this.logFailure(outcome.val.message);
      this.scheduleRenewal(RETRY_INTERVAL_MILLISECONDS * (0.5 + this.dependencies.random()));
      return;
    }
    const { row } = outcome.val;
    if (row.version < this.knownVersion) {
      // The row has changed again since.
      this.scheduleRenewal(0);
      return;
    }
    this.row = row;
    this.knownVersion = row.version;
    const wasValid = this.isValid;
    this.renewedAt = sentAt;
    if (!wasValid) {
      this.dependencies.onRegistered();
    }
    this.scheduleRenewal(RENEWAL_INTERVAL_MILLISECONDS);
  }

  private async edit(decide: (row: KnownRow) => RowEdit<undefined>): Promise<EditOutcome> {
    const { random, table, timers } = this.dependencies;
    this.hasSent = true;
    return await editRow(table, timers, this.address, this.row, decide, {
      maximumFailures: this.isStopped ? MAXIMUM_STOP_FAILURES : 0,
      random,
      readsFirst: false,
      signal: new AbortController().signal,
    });
  }

  private makeWrite(expiresAt: number): RowEdit<undefined> {
    const { availabilityZone, run, timers } = this.dependencies;
    const endedAt = this.isStopped ? timers.wallClock() : undefined;
    const registration = {
      address: this.location ?? '',
      availabilityZone,
      endedAt,
      expiresAt,
      run,
    };
    return { kind: 'write', result: undefined, value: encodeRegistration(registration) };
  }

  private isOwn({ value }: KnownRow): boolean {
    return value !== undefined && parseRegistration(value)?.run === this.dependencies.run;
  }

  private logFailure(failure: string): void {
    this.dependencies.logger.warn(
      { event: 'registration-failed', failure },
      'could not change the registration of this instance',
    );
  }
}

const leave: RowEdit<undefined> = { kind: 'leave', result: undefined };
