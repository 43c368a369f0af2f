import type { Logger, Result, TimerService, TimerSubscription } from '@zincring/core';
import type {
  PartitionedRow,
  PartitionedTable,
  PlatformError,
  RowChange,
} from '@zincring/platform';

import { failureText } from '@zincring/core';

import type { Moment } from '../configuration/contactAge.js';

import { ContactAge, momentOf } from '../configuration/contactAge.js';

/** What a {@link TableFollower} tells of its table. */
export interface TableListener {
  /** All rows as of one moment, after a start or a gap in the feed. */
  onSnapshot(rows: readonly PartitionedRow[]): void;
  /** Later changes, in the order of their versions. */
  onChanges(changes: readonly RowChange[]): void;
}

/** How a {@link TableFollower} asks. */
export interface TableFollowerOptions {
  readonly table: string;
  /** Longest wait of one request for changes, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause after changes came, so that a busy table costs few requests, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** First pause after a failure, in milliseconds; it doubles up to {@link LONGEST_BACKOFF}. */
  readonly backoffMilliseconds: number;
}

/** Longest pause after failures, in milliseconds: a fraction of the time that a key may outlive its withdrawal. */
const LONGEST_BACKOFF = 400;
/** Rows asked for in one page: the store's own limit. */
const PAGE_ROWS = 500;

/**
 * Follows one table of the store: a snapshot first, then its feed of changes. Any failure of the
 * feed leads to a new snapshot, since changes may have been missed. An uneventful answer never
 * moves the point from which the feed goes on: a feed that missed a change would skip it for good.
 *
 * @example
 * const follower = new TableFollower(table, timers, logger, options, listener);
 * follower.start();
 */
export class TableFollower {
  private readonly contact: ContactAge;
  private after: number | undefined;
  private backoff: number;
  private isInContact = false;
  private isStopped = false;
  private pausing: TimerSubscription | undefined;
  private refreshing: Promise<boolean> | undefined;
  private snapshotVersion = -1;

  public constructor(
    private readonly table: PartitionedTable,
    private readonly timers: TimerService,
    private readonly logger: Logger,
    private readonly options: TableFollowerOptions,
    private readonly listener: TableListener,
  ) {
    this.contact = new ContactAge(timers);
    this.backoff = options.backoffMilliseconds;
  }

  /** Time since the table was last known to be read in full, in milliseconds. */
  public contactMilliseconds(): number {
    return this.contact.milliseconds();
  }

  /** Begins to follow. */
  public start(): void {
    this.follow();
  }

  /** Ends: nothing is told afterwards. */
  public stop(): void {
    this.isStopped = true;
    this.pausing?.stop();
  }

  /** Reads the whole table at once, beside the feed; callers that ask meanwhile share one read. */
  public async refresh(): Promise<boolean> {
    this.refreshing ??= this.readSnapshot().finally(() => {
      this.refreshing = undefined;
    });
    return await this.refreshing;
  }

  private follow(): void {
    this.step().catch((failure: unknown) => {
      this.logger.error(
        { event: 'follow-fault', failure: failureText(failure), table: this.options.table },
        'reading the table anew',
      );
      this.after = undefined;
      this.pausing = this.timers.after(LONGEST_BACKOFF, () => {
        this.follow();
      });
    });
  }

  private async step(): Promise<void> {
    const isAnswered = this.after === undefined ? await this.refresh() : await this.readChanges();
    if (this.isStopped) {
      return;
    }
    this.noteContact(isAnswered);
    this.pausing = this.timers.after(this.nextPause(isAnswered), () => {
      this.follow();
    });
  }

  private nextPause(isAnswered: boolean): number {
    if (isAnswered) {
      this.backoff = this.options.backoffMilliseconds;
      return this.options.pauseMilliseconds;
    }
    const pause = this.backoff;
    this.backoff = Math.min(LONGEST_BACKOFF, this.backoff * 2);
    return pause;
  }

  private async readSnapshot(): Promise<boolean> {
    const sentAt = momentOf(this.timers);
    const rows: PartitionedRow[] = [];
    let version: number | undefined;
    for (let from: string | undefined = ''; from !== undefined;) {
      const page = await this.readPage(from);
      if (page.err) {
        this.logFailure(page.val);
        return false;
      }
      rows.push(...page.val.rows);
      version ??= page.val.version;
      const lastKey = page.val.rows.at(-1)?.key;
      from = page.val.isTruncated && lastKey !== undefined ? `${lastKey}\u0000` : undefined;
    }
    if (this.isStopped || version === undefined || version < this.snapshotVersion) {
      return false;
    }
    this.snapshotVersion = version;
    this.after = Math.max(version, this.after ?? 0);
    this.listener.onSnapshot(rows);
    this.contact.prove(sentAt);
    return true;
  }

  private async readPage(from: string): ReturnType<PartitionedTable['read']> {
    return await this.table.read({
      from,
      limit: PAGE_ROWS,
      partition: '',
      table: this.options.table,
    });
  }

  private async readChanges(): Promise<boolean> {
    const sentAt = momentOf(this.timers);
    const after = this.after ?? 0;
    const answer = await this.table.changes({
      after,
      table: this.options.table,
      waitMilliseconds: this.options.waitMilliseconds,
    });
    if (this.isStopped) {
      return false;
    }
    if (answer.err || answer.val.kind === 'history-lost') {
      this.noteGap(answer);
      return answer.ok;
    }
    this.takeChanges(answer.val.changes, sentAt);
    return true;
  }

  private takeChanges(changes: readonly RowChange[], sentAt: Moment): void {
    const known = this.after ?? 0;
    const fresh = changes.filter(change => versionOf(change) > known);
    if (fresh.length > 0) {
      this.after = Math.max(...fresh.map(versionOf));
      this.listener.onChanges(fresh);
    }
    this.contact.prove(sentAt);
  }

  private noteGap(answer: Result<unknown, PlatformError>): void {
    this.after = undefined;
    if (answer.err) {
      this.logFailure(answer.val);
      return;
    }
    this.logger.info({ event: 'feed-gap', table: this.options.table }, 'reading the table anew');
  }

  private logFailure(failure: PlatformError): void {
    if (this.isInContact) {
      this.logger.warn(
        { event: 'dependency-failing', failure: failure.message, table: this.options.table },
        'the store did not answer',
      );
    }
  }

  private noteContact(isAnswered: boolean): void {
    if (isAnswered === this.isInContact) {
      return;
    }
    this.isInContact = isAnswered;
    this.logger.info(
      {
        contactMilliseconds: Math.round(Math.min(this.contactMilliseconds(), 1e9)),
        event: isAnswered ? 'dependency-regained' : 'dependency-lost',
        table: this.options.table,
      },
      isAnswered ? 'the store answers' : 'the store is out of contact',
    );
  }
}

function versionOf(change: RowChange): number {
  return change.kind === 'written' ? change.row.version : change.version;
}
