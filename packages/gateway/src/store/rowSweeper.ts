import type { Logger, TimerService, TimerSubscription } from '@zincring/core';
import type { PartitionedRow, PartitionedTable } from '@zincring/platform';

import { failureText } from '@zincring/core';

/** A table whose rows expire. */
export interface SweptTable {
  readonly table: string;
  readonly partitions: readonly string[];
  /** Returns the expiry of a row on the wall clock, in milliseconds; `undefined` for rows that are removed with another one. */
  expiresAt(row: PartitionedRow): number | undefined;
  /** Returns the keys of all rows that are removed with a row, including its own. */
  keysOf(row: PartitionedRow): readonly string[];
}

/** Dependencies of a {@link RowSweeper}. */
export interface RowSweeperDependencies {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
}

/** Interval between the pages that one instance sweeps: a dozen instances remove more rows per second than they write. */
const SWEEP_INTERVAL_MILLISECONDS = 5_000;
/** Rows read at a time: some hundred kilobytes, which a few transactions can remove. */
const ROWS_PER_PAGE = 100;
/** Maximum number of checks and removals in one transaction: the store's own limit. */
const MAXIMUM_TRANSACTION_ENTRIES = 100;
/** Time for which an expired row is still kept, since wall clocks differ between instances. */
const CLOCK_MARGIN_MILLISECONDS = 10_000;

/**
 * Removes expired rows, since the store itself expires nothing. Each sweep reads one page of a
 * random partition; the next sweep of that partition continues after it.
 *
 * @example
 * new RowSweeper(dependencies, [sweptTurns, sweptBudgets]).start();
 */
export class RowSweeper {
  private readonly cursors = new Map<string, string>();
  private sweepTimer: TimerSubscription | undefined;

  public constructor(
    private readonly dependencies: RowSweeperDependencies,
    private readonly tables: readonly SweptTable[],
  ) {}

  /** Starts periodic sweeps. */
  public start(): void {
    this.sweepTimer = this.dependencies.timers.every(
      SWEEP_INTERVAL_MILLISECONDS,
      () => void this.sweepPage(),
    );
  }

  /** Stops the sweeps. */
  public stop(): void {
    this.sweepTimer?.stop();
  }

  /** Reads one page and removes its expired rows. */
  public async sweepPage(): Promise<void> {
    const sweptTable = this.pickRandom(this.tables);
    const partition = sweptTable === undefined ? undefined : this.pickRandom(sweptTable.partitions);
    if (sweptTable === undefined || partition === undefined) {
      return;
    }
    const cursorKey = `${sweptTable.table}/${partition}`;
    const page = await this.dependencies.table.read({
      from: this.cursors.get(cursorKey) ?? '',
      limit: ROWS_PER_PAGE,
      partition,
      table: sweptTable.table,
    });
    if (page.err) {
      this.logFailure(sweptTable.table, page.val.message);
      return;
    }
    const lastKey = page.val.rows.at(-1)?.key;
    const nextCursor = page.val.isTruncated && lastKey !== undefined ? `${lastKey}\u0000` : '';
    this.cursors.set(cursorKey, nextCursor);
    const expiredRows = page.val.rows.filter(row => this.hasExpired(sweptTable, row));
    for (const batch of splitIntoBatches(sweptTable, expiredRows)) {
      await this.removeRows(sweptTable, batch);
    }
  }

  private hasExpired(sweptTable: SweptTable, row: PartitionedRow): boolean {
    const expiresAt = this.readExpiry(sweptTable, row);
    const now = this.dependencies.timers.wallClock();
    return expiresAt !== undefined && now >= expiresAt + CLOCK_MARGIN_MILLISECONDS;
  }

  /** Reads the expiry of a row; `undefined` for one that cannot be read, which another build may have written. */
  private readExpiry(sweptTable: SweptTable, row: PartitionedRow): number | undefined {
    try {
      return sweptTable.expiresAt(row);
    } catch (failure) {
      this.dependencies.logger.warn(
        {
          event: 'row-unreadable',
          failure: failureText(failure),
          row: row.key,
          table: sweptTable.table,
        },
        'a stored row cannot be read, so it is kept',
      );
      return undefined;
    }
  }

  /** Removes rows in one transaction; if one of them has changed since, none is removed and a later sweep finds the rest again. */
  private async removeRows(sweptTable: SweptTable, rows: readonly PartitionedRow[]): Promise<void> {
    const outcome = await this.dependencies.table.transact({
      checks: rows,
      removals: rows.flatMap(row => sweptTable.keysOf(row).map(key => ({ ...row, key }))),
      writes: [],
    });
    if (outcome.err) {
      this.logFailure(sweptTable.table, outcome.val.message);
    }
  }

  private logFailure(table: string, failure: string): void {
    this.dependencies.logger.warn(
      { event: 'sweep-failed', failure, table },
      'could not remove expired rows',
    );
  }

  private pickRandom<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.dependencies.random() * items.length)];
  }
}

/** Splits rows into batches whose checks and removals fit into one transaction. */
function splitIntoBatches(
  sweptTable: SweptTable,
  rows: readonly PartitionedRow[],
): readonly (readonly PartitionedRow[])[] {
  const batches: PartitionedRow[][] = [];
  let entries = MAXIMUM_TRANSACTION_ENTRIES;
  for (const row of rows) {
    const rowEntries = 1 + sweptTable.keysOf(row).length;
    if (entries + rowEntries > MAXIMUM_TRANSACTION_ENTRIES) {
      batches.push([]);
      entries = 0;
    }
    batches.at(-1)?.push(row);
    entries += rowEntries;
  }
  return batches;
}
