import type { Logger, ProgramId, Result, ShardId, TimerService } from '@zincring/core';
import type {
  QueuedRecord,
  ShardLease,
  ShardLeaseStatus,
  ShardStateReference,
  WriteAheadLog,
} from '@zincring/coordination';

import { Err, failureText, Ok, sleep, ZincringError } from '@zincring/core';

import type { ProgramRecord } from './programRecord.js';
import type { ShardPrograms } from './shardPrograms.js';
import type { ShardStore } from './shardStore.js';

import { CallMailboxes } from './callMailboxes.js';
import { encodeProgramRecord } from './programRecord.js';

/** Options of a {@link HomeShard}. */
export interface HomeShardOptions {
  readonly lease: ShardLease;
  readonly programs: ShardPrograms;
  readonly log: WriteAheadLog;
  readonly store: ShardStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Maximum number of waiting calls of one branch. */
  readonly maximumMailbox: number;
  /** Number of records since the last snapshot after which a new one is stored. */
  readonly recordsPerSnapshot?: number;
  /**
   * Number of commit groups of the log, which all shards of the instance share, after which the
   * start of the shard's replay is moved forward.
   */
  readonly groupsPerReference?: number;
}

/**
 * Outcome of the wait for a record: `durable`; `stalled`, which may become durable later; or
 * `lost`, which must not be relied on.
 */
export type RecordOutcome = 'durable' | 'lost' | 'stalled';

/** A record that was applied to the state and queued for the log. */
export interface WrittenRecord {
  readonly record: ProgramRecord;
  readonly queued: QueuedRecord;
}

const RECORDS_PER_SNAPSHOT = 500;
const GROUPS_PER_REFERENCE = 2_000;
/** Interval at which a lapsed lease is checked for its renewal or loss. */
const LAPSED_LEASE_POLL_MILLISECONDS = 200;

/** One shard under one lease: its programs, their mailboxes and their records in the log. */
export class HomeShard {
  public readonly mailboxes: CallMailboxes;
  private readonly pendingRecords = new Set<Promise<unknown>>();
  private recordsSinceSnapshot = 0;
  private lastReference: ShardStateReference | undefined;
  private isSnapshotting = false;
  private closing = false;

  public constructor(private readonly options: HomeShardOptions) {
    this.mailboxes = new CallMailboxes(options);
  }

  /** Number of the shard. */
  public get shard(): ShardId {
    return this.options.lease.shard;
  }

  /** Lease under which this object does all its work. */
  public get lease(): ShardLease {
    return this.options.lease;
  }

  /** Programs of the shard. */
  public get programs(): ShardPrograms {
    return this.options.programs;
  }

  /** Status of the lease. Must be checked again after every await. */
  public get leaseStatus(): ShardLeaseStatus {
    return this.options.lease.status;
  }

  /** Whether the shard accepts no new work because it is handed over or was dropped. */
  public get isClosing(): boolean {
    return this.closing;
  }

  /** Whether writes to the object store are failing, so that waiting for one may take long. */
  public get isStoreFailing(): boolean {
    return this.options.log.isStalled;
  }

  /** Whether the log has room for the turn of one more call. */
  public get hasRoomForNewCall(): boolean {
    return this.options.log.hasRoomForNewWork;
  }

  /** Applies a record if the log accepts it; a rejected record changes nothing. */
  public write(record: ProgramRecord): Result<WrittenRecord, ZincringError> {
    const { lease, log, programs } = this.options;
    if (lease.status === 'none' || lease.status === 'recovering') {
      return Err(new ZincringError('shard-unavailable', { ran: 'maybe' }));
    }
    const { epoch, shard } = lease;
    const queued = log.append({ epoch, payload: encodeProgramRecord(record), shard });
    if (queued.err) {
      const kind = queued.val === 'full' ? 'undurable-limit-reached' : 'store-unavailable';
      return Err(new ZincringError(kind, { ran: 'maybe' }));
    }
    programs.apply(record);
    this.recordsSinceSnapshot++;
    this.trackDurability({ queued: queued.val, record });
    return Ok({ queued: queued.val, record });
  }

  /** Waits until a record is stored or the store fails, and then checks the lease's status. */
  public async waitForOutcome(written: WrittenRecord): Promise<RecordOutcome> {
    const stored = await this.options.log.waitUntilStoredOrStalled(written.queued);
    if (stored === undefined) {
      return 'stalled';
    }
    return stored.err ? 'lost' : this.evaluateOutcome(written);
  }

  /** Writes a record and waits until it is durable; fails if it is not. */
  public async writeDurably(record: ProgramRecord): Promise<Result<void, ZincringError>> {
    const written = this.write(record);
    if (written.err) {
      return written;
    }
    const outcome = await this.waitForOutcome(written.val);
    return outcome === 'durable'
      ? Ok(undefined)
      : Err(new ZincringError('store-unavailable', { ran: 'maybe' }));
  }

  /**
   * Stores a snapshot; throws if that fails.
   *
   * @returns the location of the snapshot and the position from which the log continues it
   */
  public async saveSnapshot(isHandedOver: boolean): Promise<ShardStateReference> {
    const { lease, log, programs, store } = this.options;
    const from = log.upcomingSequence;
    const recordsInSnapshot = this.recordsSinceSnapshot;
    const snapshot = await store.save(lease.shard, lease.epoch, programs, isHandedOver);
    this.recordsSinceSnapshot -= recordsInSnapshot;
    const reference: ShardStateReference = {
      log: { epoch: lease.epoch, from, incarnation: log.incarnation },
      snapshot,
    };
    this.lastReference ??= reference;
    return reference;
  }

  /**
   * Ends the work of the shard for its handover: running calls are finished, queued ones are
   * refused.
   *
   * @returns the location of the state for the next holder
   */
  public async close(): Promise<ShardStateReference> {
    this.closing = true;
    await this.mailboxes.close();
    await Promise.all(this.pendingRecords);
    return await this.saveSnapshot(true);
  }

  /** Interrupts all work immediately: another holder has, or may have, acquired the shard. */
  public drop(): void {
    this.closing = true;
    this.mailboxes.interruptAll();
  }

  /**
   * Stores a snapshot in the background when one is due and moves the start of the replay forward,
   * which bounds the length of the replay and of the log.
   */
  public maintain(): void {
    const { groupsPerReference, log, recordsPerSnapshot } = this.options;
    const groupsSinceReference = log.upcomingSequence - (this.lastReference?.log?.from ?? 0);
    const isDue =
      this.recordsSinceSnapshot >= (recordsPerSnapshot ?? RECORDS_PER_SNAPSHOT) ||
      groupsSinceReference >= (groupsPerReference ?? GROUPS_PER_REFERENCE);
    if (!isDue || this.isSnapshotting || this.closing || this.leaseStatus !== 'held') {
      return;
    }
    this.isSnapshotting = true;
    this.advanceReference()
      .catch((failure: unknown) => {
        const fields = { failure: failureText(failure), shard: this.shard };
        this.options.logger.warn(fields, 'snapshot failed');
      })
      .finally(() => {
        this.isSnapshotting = false;
      });
  }

  /**
   * Deletes the snapshots that are no longer needed.
   *
   * @param reference location of the state that the shard's row is known to contain
   */
  public async deleteOlderSnapshots(reference: ShardStateReference): Promise<void> {
    const { lease, store } = this.options;
    await store.deleteOlder(lease.shard, lease.epoch, reference.snapshot);
  }

  private async advanceReference(): Promise<void> {
    const reference = await this.saveSnapshot(false);
    const committed = await this.options.lease.commitState(reference);
    if (committed.ok) {
      this.lastReference = reference;
      await this.deleteOlderSnapshots(reference);
    }
  }

  /** Marks a record as durable whenever it becomes so, even after a long outage. */
  private trackDurability(written: WrittenRecord): void {
    const durability = this.awaitDurability(written).finally(() => {
      this.pendingRecords.delete(durability);
    });
    this.pendingRecords.add(durability);
  }

  private async awaitDurability(written: WrittenRecord): Promise<void> {
    const stored = await written.queued.stored;
    if (stored.err) {
      return;
    }
    // While the lease has lapsed, another instance may have acquired the shard and replayed the log
    // without this record. If the lease is renewed, there was no other holder in between.
    while (this.evaluateOutcome(written) === 'stalled') {
      await sleep(this.options.timers, LAPSED_LEASE_POLL_MILLISECONDS);
    }
  }

  private evaluateOutcome(written: WrittenRecord): RecordOutcome {
    switch (this.leaseStatus) {
      case 'held':
      case 'releasing':
        this.findState(written.record.program)?.recordDurable(written.record);
        return 'durable';
      case 'lapsed':
        return 'stalled';
      case 'none':
      case 'recovering':
        return 'lost';
    }
  }

  private findState(program: ProgramId): ReturnType<ShardPrograms['find']> {
    return this.options.programs.find(program);
  }
}
