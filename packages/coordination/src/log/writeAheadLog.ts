import type { IncarnationId, Logger, CspGenerator, Result, TimerService } from '@zincring/core';
import type { ObjectStore, PlatformError } from '@zincring/platform';

import { Channel, Err, failureText, Ok, settle, sleep, startProcess } from '@zincring/core';

import type { LogPosition, LogRecord } from './logRecord.js';

import { encodeGroup, logObjectName } from './logRecord.js';

/** Options of a {@link WriteAheadLog}. */
export interface WriteAheadLogOptions {
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly incarnation: IncarnationId;
  /** Time for which a commit group collects records, in milliseconds. */
  readonly groupMilliseconds: number;
  /** Maximum number of records that wait to be stored. */
  readonly maximumPending: number;
  /** Delay before a failed write is retried, in milliseconds. */
  readonly retryMilliseconds: number;
}

/** Reason why a record did not become durable. */
export type LogFailure = 'closed' | 'foreign-object' | 'full';

/** A record that the log has accepted. */
export interface QueuedRecord {
  /** Settles once the record is durable or has failed, however long the store is unavailable. */
  readonly stored: Promise<Result<LogPosition, LogFailure>>;
}

interface PendingRecord {
  readonly record: LogRecord;
  readonly resolve: (outcome: Result<LogPosition, LogFailure>) => void;
}

/** Share of `maximumPending` that new work may fill; the remainder is reserved for running work. */
const NEW_WORK_SHARE = 0.8;

/** Size at which a commit group is closed, in characters. */
const MAXIMUM_GROUP_CHARACTERS = 4 * 1_024 * 1_024;

/**
 * The log of one incarnation: one object per commit group, each written only if it does not exist
 * yet. A record is durable once its group is stored.
 */
export class WriteAheadLog {
  private readonly queue: Channel<PendingRecord>;
  private pendingCount = 0;
  private nextSequence = 1;
  private failure: LogFailure | undefined;
  private isStoreFailing = false;
  private readonly stallListeners = new Set<() => void>();

  public constructor(private readonly options: WriteAheadLogOptions) {
    this.queue = new Channel(options.maximumPending);
    startProcess(
      () => this.run(),
      failure => {
        this.failure = 'closed';
        options.logger.error({ failure: failureText(failure) }, 'log writer failed');
      },
    );
  }

  /** Incarnation that writes the log. */
  public get incarnation(): IncarnationId {
    return this.options.incarnation;
  }

  /** Sequence number of the next commit group to be stored. */
  public get upcomingSequence(): number {
    return this.nextSequence;
  }

  /** Number of records that are not durable yet. */
  public get pending(): number {
    return this.pendingCount;
  }

  /** Whether the log has room for the records of new work, which may have to wait for the store. */
  public get hasRoomForNewWork(): boolean {
    return this.pendingCount < this.options.maximumPending * NEW_WORK_SHARE;
  }

  /** Whether the last attempt to store a group failed; records may then stay pending for long. */
  public get isStalled(): boolean {
    return this.isStoreFailing;
  }

  /**
   * Accepts or rejects a record immediately. A rejected record never becomes durable.
   *
   * @example
   * const queued = log.append(record);
   * if (queued.ok) await queued.val.stored;
   */
  public append(record: LogRecord): Result<QueuedRecord, LogFailure> {
    if (this.failure !== undefined) {
      return Err(this.failure);
    }
    if (this.pendingCount >= this.options.maximumPending) {
      return Err('full');
    }
    let resolveStored: PendingRecord['resolve'] = () => undefined;
    const stored = new Promise<Result<LogPosition, LogFailure>>(resolve => {
      resolveStored = resolve;
    });
    if (!this.queue.offer({ record, resolve: resolveStored })) {
      return Err('full');
    }
    this.pendingCount++;
    return Ok({ stored });
  }

  /** Waits until a record is durable; returns `undefined` if the store fails before that. */
  public async waitUntilStoredOrStalled(
    queued: QueuedRecord,
  ): Promise<Result<LogPosition, LogFailure> | undefined> {
    if (this.isStoreFailing) {
      return undefined;
    }
    let listener: () => void = () => undefined;
    const stalled = new Promise<undefined>(resolve => {
      listener = () => {
        resolve(undefined);
      };
      this.stallListeners.add(listener);
    });
    const outcome = await Promise.race([queued.stored, stalled]);
    this.stallListeners.delete(listener);
    return outcome;
  }

  /** Rejects further records; those already queued still become durable. */
  public close(): void {
    this.failure ??= 'closed';
    this.queue.close();
  }

  private *run(): CspGenerator {
    for (;;) {
      const first = yield* this.queue.receive();
      if (first === undefined) {
        return;
      }
      yield* settle(sleep(this.options.timers, this.options.groupMilliseconds));
      const group = [first];
      let sizeCharacters = first.record.payload.length;
      while (this.queue.size > 0 && sizeCharacters < MAXIMUM_GROUP_CHARACTERS) {
        const next = yield* this.queue.receive();
        if (next === undefined) {
          break;
        }
        group.push(next);
        sizeCharacters += next.record.payload.length;
      }
      yield* this.commit(group);
    }
  }

  private *commit(group: readonly PendingRecord[]): CspGenerator {
    const { incarnation } = this.options;
    const sequence = this.nextSequence;
    const content = encodeGroup(group.map(pending => pending.record));
    const outcome = yield* settle(this.storeGroup(logObjectName(incarnation, sequence), content));
    const isStored = outcome.ok && outcome.val;
    if (isStored) {
      this.nextSequence++;
    } else {
      this.failure = 'foreign-object';
    }
    this.pendingCount -= group.length;
    for (const pending of group) {
      pending.resolve(isStored ? Ok({ incarnation, sequence }) : Err('foreign-object'));
    }
  }

  /** Retries until a group is stored; `false` when a different object already has its name. */
  private async storeGroup(name: string, content: Uint8Array): Promise<boolean> {
    for (;;) {
      const outcome = await this.tryStoreGroup(name, content);
      if (outcome.ok) {
        this.isStoreFailing = false;
        return outcome.val;
      }
      this.isStoreFailing = true;
      for (const listener of this.stallListeners) {
        listener();
      }
      await sleep(this.options.timers, this.options.retryMilliseconds);
    }
  }

  /**
   * Attempts to store a group. An existing object with the same content counts as stored: it is
   * an earlier attempt whose response was lost.
   */
  private async tryStoreGroup(
    name: string,
    content: Uint8Array,
  ): Promise<Result<boolean, PlatformError>> {
    const putOutcome = await this.options.objects.putIfAbsent(name, content);
    if (putOutcome.err || putOutcome.val === 'stored') {
      return putOutcome.map(() => true);
    }
    const existing = await this.options.objects.get(name);
    return existing.map(bytes => bytes !== undefined && Buffer.from(bytes).equals(content));
  }
}
