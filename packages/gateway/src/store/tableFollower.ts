import type { Logger, Result, TimerService, TimerSubscription } from '@zincring/core';
import type {
  PartitionedRow,
  PartitionedTable,
  PlatformError,
  RowChange,
} from '@zincring/platform';

import { failureText } from '@zincring/core';

import type { ClockReading } from '../configuration/contactAge.js';

import { ContactAge, readClocks } from '../configuration/contactAge.js';

/**
 * Receives the rows and changes that a {@link TableFollower} reads. After a failure it gets the rows again, one by
 * one, as changes.
 */
export interface TableListener {
  /**
   * Called with all rows as of one version: after the start, after a gap in the feed and on a refresh. A refresh may
   * end after later changes were applied, so its version may be lower than theirs.
   */
  onSnapshot(rows: readonly PartitionedRow[], version: number): void;
  /** Called with later changes, in the order of their versions. */
  onChanges(changes: readonly RowChange[]): void;
}

/** Options of a {@link TableFollower}. */
export interface TableFollowerOptions {
  readonly table: string;
  /** Partition that holds the rows; that of the platform's own rows by default. */
  readonly partition?: string;
  /** Maximum time for which the store holds a request for changes open, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause after a successful request, in milliseconds: limits the requests that a busy table causes. */
  readonly pauseMilliseconds: number;
  /** First pause after a failure, in milliseconds; it doubles up to {@link MAXIMUM_BACKOFF_MILLISECONDS}. */
  readonly initialBackoffMilliseconds: number;
}

/** Maximum pause after failures: a fraction of the time for which a withdrawn key may still be accepted. */
const MAXIMUM_BACKOFF_MILLISECONDS = 400;
/** Rows requested in one page: the store's own limit. */
const ROWS_PER_PAGE = 500;

/**
 * Follows one table of the store: reads a snapshot and then the feed of changes. After any failure
 * of the feed it reads a new snapshot, since changes may have been missed. Only received changes
 * advance the version from which the feed continues; an answer without changes does not, as a feed
 * that missed a change would then skip it permanently.
 *
 * @example
 * const follower = new TableFollower(table, timers, logger, options, listener);
 * follower.start();
 */
export class TableFollower {
  private readonly contact: ContactAge;
  /** Version up to which changes were applied; `undefined` when a snapshot is needed. */
  private appliedVersion: number | undefined;
  private nextBackoffMilliseconds: number;
  private isInContact = false;
  private isStopped = false;
  private pauseTimer: TimerSubscription | undefined;
  private pendingRefresh: Promise<boolean> | undefined;
  private snapshotVersion = -1;

  public constructor(
    private readonly table: PartitionedTable,
    private readonly timers: TimerService,
    private readonly logger: Logger,
    private readonly options: TableFollowerOptions,
    private readonly listener: TableListener,
  ) {
    this.contact = new ContactAge(timers);
    this.nextBackoffMilliseconds = options.initialBackoffMilliseconds;
  }

  /** Age of the last confirmation that the applied version of the table is current, in milliseconds. */
  public contactMilliseconds(): number {
    return this.contact.milliseconds();
  }

  /** Number of interruptions of the contact in which changes may have been missed for some time. */
  public interruptionCount(): number {
    return this.contact.interruptionCount;
  }

  /** Starts to follow the table. */
  public start(): void {
    this.follow();
  }

  /** Stops; the listener is not called afterwards. */
  public stop(): void {
    this.isStopped = true;
    this.pauseTimer?.stop();
  }

  /** Reads a snapshot immediately, independently of the feed; concurrent callers share one read. Returns whether it succeeded. */
  public async refresh(): Promise<boolean> {
    this.pendingRefresh ??= this.readSnapshot().finally(() => {
      this.pendingRefresh = undefined;
    });
    return await this.pendingRefresh;
  }

  private follow(): void {
    this.followOnce().catch((failure: unknown) => {
      this.logger.error(
        { event: 'follow-fault', failure: failureText(failure), table: this.options.table },
        'following the table failed unexpectedly; reading a new snapshot',
      );
      this.appliedVersion = undefined;
      this.pauseTimer = this.timers.after(MAXIMUM_BACKOFF_MILLISECONDS, () => {
        this.follow();
      });
    });
  }

  private async followOnce(): Promise<void> {
    const hasSucceeded =
      this.appliedVersion === undefined ? await this.refresh() : await this.readChanges();
    if (this.isStopped) {
      return;
    }
    this.recordContact(hasSucceeded);
    this.pauseTimer = this.timers.after(this.choosePauseMilliseconds(hasSucceeded), () => {
      this.follow();
    });
  }

  private choosePauseMilliseconds(hasSucceeded: boolean): number {
    if (hasSucceeded) {
      this.nextBackoffMilliseconds = this.options.initialBackoffMilliseconds;
      return this.options.pauseMilliseconds;
    }
    const pauseMilliseconds = this.nextBackoffMilliseconds;
    this.nextBackoffMilliseconds = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      this.nextBackoffMilliseconds * 2,
    );
    return pauseMilliseconds;
  }

  private async readSnapshot(): Promise<boolean> {
    const sentAt = readClocks(this.timers);
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
    this.appliedVersion = Math.max(version, this.appliedVersion ?? 0);
    const changes = rows.map((row): RowChange => ({ kind: 'written', row }));
    this.deliver(changes, () => {
      this.listener.onSnapshot(rows, version);
    });
    this.contact.confirm(sentAt);
    return true;
  }

  private async readPage(from: string): ReturnType<PartitionedTable['read']> {
    return await this.table.read({
      from,
      limit: ROWS_PER_PAGE,
      partition: this.options.partition ?? '',
      table: this.options.table,
    });
  }

  private async readChanges(): Promise<boolean> {
    const sentAt = readClocks(this.timers);
    const after = this.appliedVersion ?? 0;
    const result = await this.table.changes({
      after,
      table: this.options.table,
      waitMilliseconds: this.options.waitMilliseconds,
    });
    if (this.isStopped) {
      return false;
    }
    if (result.err || result.val.kind === 'history-lost') {
      this.resetFeed(result);
      return result.ok;
    }
    this.applyChanges(result.val.changes, sentAt);
    return true;
  }

  private applyChanges(changes: readonly RowChange[], sentAt: ClockReading): void {
    const appliedVersion = this.appliedVersion ?? 0;
    const newChanges = changes.filter(change => getVersion(change) > appliedVersion);
    if (newChanges.length > 0) {
      this.appliedVersion = Math.max(...newChanges.map(getVersion));
      this.deliver(newChanges, () => {
        this.listener.onChanges(newChanges);
      });
    }
    this.contact.confirm(sentAt);
  }

  /** Delivers rows together; if the listener fails, each by itself, so that a row that it cannot take keeps no other from it. */
  private deliver(changes: readonly RowChange[], deliverTogether: () => void): void {
    if (this.tryToDeliver(undefined, deliverTogether)) {
      return;
    }
    for (const change of changes) {
      this.tryToDeliver(change.row.key, () => {
        this.listener.onChanges([change]);
      });
    }
  }

  private tryToDeliver(row: string | undefined, deliver: () => void): boolean {
    try {
      deliver();
      return true;
    } catch (failure) {
      this.logger.error(
        { event: 'row-fault', failure: failureText(failure), row, table: this.options.table },
        'rows could not be applied; the others are',
      );
      return false;
    }
  }

  private resetFeed(result: Result<unknown, PlatformError>): void {
    this.appliedVersion = undefined;
    if (result.err) {
      this.logFailure(result.val);
      return;
    }
    this.logger.info(
      { event: 'feed-gap', table: this.options.table },
      'feed history lost; reading a new snapshot',
    );
  }

  private logFailure(failure: PlatformError): void {
    if (this.isInContact) {
      this.logger.warn(
        { event: 'dependency-failing', failure: failure.message, table: this.options.table },
        'the store did not answer',
      );
    }
  }

  private recordContact(hasSucceeded: boolean): void {
    if (hasSucceeded === this.isInContact) {
      return;
    }
    this.isInContact = hasSucceeded;
    this.logger.info(
      {
        contactMilliseconds: Math.round(Math.min(this.contactMilliseconds(), 1e9)),
        event: hasSucceeded ? 'dependency-regained' : 'dependency-lost',
        table: this.options.table,
      },
      hasSucceeded ? 'the store answers' : 'the store does not answer',
    );
  }
}

function getVersion(change: RowChange): number {
  return change.kind === 'written' ? change.row.version : change.version;
}
