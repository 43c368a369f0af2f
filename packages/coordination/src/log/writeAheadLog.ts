import type { IncarnationId, Logger, ProcessSteps, Result, TimerService } from '@zincring/core';
import type { ObjectStore, PlatformError } from '@zincring/platform';

import { Channel, Err, failureText, Ok, settle, sleep, startProcess } from '@zincring/core';

import type { LogPosition, LogRecord } from './logRecord.js';

import { encodeGroup, logObjectName } from './logRecord.js';

/** What a log needs. */
export interface WriteAheadLogOptions {
  readonly objects: ObjectStore;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly incarnation: IncarnationId;
  /** How long a commit group collects records, in milliseconds. */
  readonly groupMilliseconds: number;
  /** Most records that wait for the store. */
  readonly maximumPending: number;
  /** Pause before a failed write is tried again, in milliseconds. */
  readonly retryMilliseconds: number;
}

/** Why a record did not become durable. */
export type LogFailure = 'closed' | 'foreign-object' | 'full';

/** A record that the log has accepted. */
export interface QueuedRecord {
  /** Settles once the record is durable, however long the store is out. */
  readonly stored: Promise<Result<LogPosition, LogFailure>>;
}

interface PendingRecord {
  readonly record: LogRecord;
  readonly settle: (outcome: Result<LogPosition, LogFailure>) => void;
}

/** Share of the room for records that new work may fill; the rest is for work that runs. */
const ADMITTED_SHARE = 0.8;

/** Size at which a commit group takes no more records, in characters. */
const LARGEST_GROUP = 4 * 1_024 * 1_024;

/**
 * The log of one incarnation: an object per commit group, each stored on condition that it does
 * not exist. A record is durable once its group is stored.
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

  /** Sequence number that the next commit group will have. */
  public get upcomingSequence(): number {
    return this.nextSequence;
  }

  /** Records that are not durable yet. */
  public get pending(): number {
    return this.pendingCount;
  }

  /** Whether more work may be begun whose records will have to wait for the store. */
  public get hasRoom(): boolean {
    return this.pendingCount < this.options.maximumPending * ADMITTED_SHARE;
  }

  /** Whether the last write of a group failed, so that waiting may take long. */
  public get isStalled(): boolean {
    return this.isStoreFailing;
  }

  /**
   * Accepts a record, or refuses it at once: a record that was refused never becomes durable.
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
    let settleRecord: PendingRecord['settle'] = () => undefined;
    const stored = new Promise<Result<LogPosition, LogFailure>>(resolve => {
      settleRecord = resolve;
    });
    if (!this.queue.offer({ record, settle: settleRecord })) {
      return Err('full');
    }
    this.pendingCount++;
    return Ok({ stored });
  }

  /** Waits until a record is durable, or `undefined` once the store fails before that. */
  public async storedOrStalled(
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

  /** Refuses further records and lets the queued ones become durable. */
  public close(): void {
    this.failure ??= 'closed';
    this.queue.close();
  }

  private *run(): ProcessSteps {
    for (;;) {
      const first = yield* this.queue.receive();
      if (first === undefined) {
        return;
      }
      yield* settle(sleep(this.options.timers, this.options.groupMilliseconds));
      const group = [first];
      let size = first.record.payload.length;
      while (this.queue.size > 0 && size < LARGEST_GROUP) {
        const next = yield* this.queue.receive();
        if (next === undefined) {
          break;
        }
        group.push(next);
        size += next.record.payload.length;
      }
      yield* this.commit(group);
    }
  }

  private *commit(group: readonly PendingRecord[]): ProcessSteps {
    const { incarnation } = this.options;
    const sequence = this.nextSequence;
    const content = encodeGroup(group.map(pending => pending.record));
    const outcome = yield* settle(this.store(logObjectName(incarnation, sequence), content));
    const isStored = outcome.ok && outcome.val;
    if (isStored) {
      this.nextSequence++;
    } else {
      this.failure = 'foreign-object';
    }
    this.pendingCount -= group.length;
    for (const pending of group) {
      pending.settle(isStored ? Ok({ incarnation, sequence }) : Err('foreign-object'));
    }
  }

  /** Stores a group, however long it takes; `false` when another object has its name. */
  private async store(name: string, content: Uint8Array): Promise<boolean> {
    for (;;) {
      const outcome = await this.tryStore(name, content);
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

  /** An object of the same content is an earlier attempt whose answer was lost. */
  private async tryStore(
    name: string,
    content: Uint8Array,
  ): Promise<Result<boolean, PlatformError>> {
    const put = await this.options.objects.putIfAbsent(name, content);
    if (put.err || put.val === 'stored') {
      return put.map(() => true);
    }
    const found = await this.options.objects.get(name);
    return found.map(bytes => bytes !== undefined && Buffer.from(bytes).equals(content));
  }
}
