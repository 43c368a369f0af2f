import type { IncarnationId, Logger, ProcessSteps, Result, TimerService } from '@zincring/core';
import type { ObjectStore } from '@zincring/platform';

import { Channel, Err, failureText, Ok, settle, sleep, startProcess } from '@zincring/core';
import { putSettled } from '@zincring/platform';

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

interface PendingRecord {
  readonly record: LogRecord;
  readonly settle: (outcome: Result<LogPosition, LogFailure>) => void;
}

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

  /** Whether the last write of a group failed, so that waiting may take long. */
  public get isStalled(): boolean {
    return this.isStoreFailing;
  }

  /** Appends a record; settles once it is durable, however long the store is out. */
  public async append(record: LogRecord): Promise<Result<LogPosition, LogFailure>> {
    if (this.failure !== undefined) {
      return Err(this.failure);
    }
    return await new Promise(resolve => {
      const isQueued = this.queue.offer({ record, settle: resolve });
      if (!isQueued) {
        resolve(Err('full'));
        return;
      }
      this.pendingCount++;
    });
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
      while (this.queue.size > 0) {
        const next = yield* this.queue.receive();
        if (next === undefined) {
          break;
        }
        group.push(next);
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

  /** Stores a group; `false` when another object has its name. */
  private async store(name: string, content: Uint8Array): Promise<boolean> {
    for (;;) {
      const outcome = await putSettled(this.options.objects, name, content, {
        attempts: 2,
        pauseMilliseconds: this.options.retryMilliseconds,
        timers: this.options.timers,
      });
      if (outcome.ok) {
        this.isStoreFailing = false;
        return outcome.val === 'stored';
      }
      this.isStoreFailing = true;
      await sleep(this.options.timers, this.options.retryMilliseconds);
    }
  }
}
