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

/** What the home of one shard needs. */
export interface HomeShardOptions {
  readonly lease: ShardLease;
  readonly programs: ShardPrograms;
  readonly log: WriteAheadLog;
  readonly store: ShardStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Most calls of one branch that wait. */
  readonly maximumMailbox: number;
  /** Records since the last snapshot after which a new one is made. */
  readonly recordsPerSnapshot?: number;
  /** Commit groups of the whole log after which a shard moves its place in the log on. */
  readonly groupsPerReference?: number;
}

/** How far a record has come: `stalled` may become durable later, `lost` must not be relied on. */
export type RecordOutcome = 'durable' | 'lost' | 'stalled';

/** A record that was applied and is on its way to the log. */
export interface WrittenRecord {
  readonly record: ProgramRecord;
  readonly queued: QueuedRecord;
}

const RECORDS_PER_SNAPSHOT = 500;
const GROUPS_PER_REFERENCE = 2_000;
/** Pause between looks whether a lapsed lease runs again, in milliseconds. */
const LAPSED_LOOK_MILLISECONDS = 200;

/** One shard under one lease: its programs, their mailboxes, and their records in the log. */
export class HomeShard {
  public readonly mailboxes: CallMailboxes;
  private readonly unsettled = new Set<Promise<unknown>>();
  private recordsSinceSnapshot = 0;
  private referenced: ShardStateReference | undefined;
  private isSnapshotting = false;
  private closing = false;

  public constructor(private readonly options: HomeShardOptions) {
    this.mailboxes = new CallMailboxes(options);
  }

  /** Number of the shard. */
  public get shard(): ShardId {
    return this.options.lease.shard;
  }

  /** The lease under which all work of this object is done. */
  public get lease(): ShardLease {
    return this.options.lease;
  }

  /** The programs of the shard. */
  public get programs(): ShardPrograms {
    return this.options.programs;
  }

  /** How the lease stands. To be asked again after every wait. */
  public get standing(): ShardLeaseStatus {
    return this.options.lease.status;
  }

  /** Whether the shard takes no new work because it is handed over. */
  public get isClosing(): boolean {
    return this.closing;
  }

  /** Whether the object store is failing, so that waiting for it may take long. */
  public get isStoreFailing(): boolean {
    return this.options.log.isStalled;
  }

  /** Whether the log has room for the turn of one more call. */
  public get hasRoom(): boolean {
    return this.options.log.hasRoomForNewWork;
  }

  /** Applies a record if the log accepts it; a record that is refused leaves no trace. */
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
    this.follow({ queued: queued.val, record });
    return Ok({ queued: queued.val, record });
  }

  /** Waits until a record is durable, or until the store fails or the lease does. */
  public async settle(written: WrittenRecord): Promise<RecordOutcome> {
    const stored = await this.options.log.waitUntilStoredOrStalled(written.queued);
    if (stored === undefined) {
      return 'stalled';
    }
    return stored.err ? 'lost' : this.judge(written);
  }

  /** Writes a record and waits for it. */
  public async writeDurably(record: ProgramRecord): Promise<Result<void, ZincringError>> {
    const written = this.write(record);
    if (written.err) {
      return written;
    }
    const outcome = await this.settle(written.val);
    return outcome === 'durable'
      ? Ok(undefined)
      : Err(new ZincringError('store-unavailable', { ran: 'maybe' }));
  }

  /** Stores a snapshot and says from where the log continues it; throws when it cannot. */
  public async createReference(isHandedOver: boolean): Promise<ShardStateReference> {
    const { lease, log, programs, store } = this.options;
    const from = log.upcomingSequence;
    const contained = this.recordsSinceSnapshot;
    const snapshot = await store.save(lease.shard, lease.epoch, programs, isHandedOver);
    this.recordsSinceSnapshot -= contained;
    const reference: ShardStateReference = {
      log: { epoch: lease.epoch, from, incarnation: log.incarnation },
      snapshot,
    };
    this.referenced ??= reference;
    return reference;
  }

  /** Ends the work of the shard for the next holder: what runs is finished, what waits refused. */
  public async close(): Promise<ShardStateReference> {
    this.closing = true;
    await this.mailboxes.close();
    await Promise.all(this.unsettled);
    return await this.createReference(true);
  }

  /** Ends everything at once: another holder has, or may have, taken the shard. */
  public drop(): void {
    this.closing = true;
    this.mailboxes.drop();
  }

  /** Moves the shard's place in the log on, so that replay and log stay bounded. */
  public maintain(): void {
    const { groupsPerReference, log, recordsPerSnapshot } = this.options;
    const groups = log.upcomingSequence - (this.referenced?.log?.from ?? 0);
    const isDue =
      this.recordsSinceSnapshot >= (recordsPerSnapshot ?? RECORDS_PER_SNAPSHOT) ||
      groups >= (groupsPerReference ?? GROUPS_PER_REFERENCE);
    if (!isDue || this.isSnapshotting || this.closing || this.standing !== 'held') {
      return;
    }
    this.isSnapshotting = true;
    this.advance()
      .catch((failure: unknown) => {
        const fields = { failure: failureText(failure), shard: this.shard };
        this.options.logger.warn(fields, 'snapshot failed');
      })
      .finally(() => {
        this.isSnapshotting = false;
      });
  }

  /** Deletes what the reference under which the row stands has made superfluous. */
  public async deleteOlderSnapshots(reference: ShardStateReference): Promise<void> {
    const { lease, store } = this.options;
    await store.deleteOlder(lease.shard, lease.epoch, reference.snapshot);
  }

  private async advance(): Promise<void> {
    const reference = await this.createReference(false);
    const committed = await this.options.lease.commitState(reference);
    if (committed.ok) {
      this.referenced = reference;
      await this.deleteOlderSnapshots(reference);
    }
  }

  /** Notes the durability of a record whenever it comes, also long after an outage. */
  private follow(written: WrittenRecord): void {
    const following = this.awaitDurability(written).finally(() => {
      this.unsettled.delete(following);
    });
    this.unsettled.add(following);
  }

  private async awaitDurability(written: WrittenRecord): Promise<void> {
    const stored = await written.queued.stored;
    if (stored.err) {
      return;
    }
    // While the lease has lapsed, a taker may have replayed the log without this record. Once it
    // runs again, no other holder has come between.
    while (this.judge(written) === 'stalled') {
      await sleep(this.options.timers, LAPSED_LOOK_MILLISECONDS);
    }
  }

  private judge(written: WrittenRecord): RecordOutcome {
    switch (this.standing) {
      case 'held':
      case 'releasing':
        this.stateOf(written.record.program)?.noteDurable(written.record);
        return 'durable';
      case 'lapsed':
        return 'stalled';
      case 'none':
      case 'recovering':
        return 'lost';
    }
  }

  private stateOf(program: ProgramId): ReturnType<ShardPrograms['find']> {
    return this.options.programs.find(program);
  }
}
