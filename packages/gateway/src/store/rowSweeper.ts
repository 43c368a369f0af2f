import type { Logger, TimerService, TimerSubscription } from '@zincring/core';
import type { PartitionedRow, PartitionedTable } from '@zincring/platform';

/** A table whose rows end by themselves. */
export interface SweptTable {
  readonly table: string;
  readonly partitions: readonly string[];
  /** When a row may be removed, by the wall clock, in milliseconds; `undefined` for rows that go with others. */
  expiresAt(row: PartitionedRow): number | undefined;
  /** Keys of all rows that go with a row, its own included. */
  keysOf(row: PartitionedRow): readonly string[];
}

/** What a {@link RowSweeper} works with. */
export interface RowSweeperParts {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
}

/** Pause between looks of one instance, in milliseconds: a dozen instances remove more rows a second than they write. */
const PAUSE_MILLISECONDS = 5_000;
/** Rows of one look: some hundred kilobytes, and as many as are removed in a few transactions. */
const ROWS_PER_LOOK = 100;
/** Entries of one removal: the store's own limit. */
const MAXIMUM_ENTRIES = 100;
/** Time beyond the end of a row for which it is kept, in milliseconds: wall clocks differ between instances. */
const CLOCK_MARGIN_MILLISECONDS = 10_000;

/**
 * Removes rows that have ended, a few at a time: nothing in the store expires by itself. Each look
 * reads one page of a partition drawn at random and goes on there the next time.
 *
 * @example
 * new RowSweeper(parts, [turnTable, budgetTable]).start();
 */
export class RowSweeper {
  private readonly cursors = new Map<string, string>();
  private looking: TimerSubscription | undefined;

  public constructor(
    private readonly parts: RowSweeperParts,
    private readonly tables: readonly SweptTable[],
  ) {}

  /** Begins to look. */
  public start(): void {
    this.looking = this.parts.timers.every(PAUSE_MILLISECONDS, () => void this.look());
  }

  /** Ends. */
  public stop(): void {
    this.looking?.stop();
  }

  /** Looks at one page and removes what has ended. */
  public async look(): Promise<void> {
    const swept = this.pick(this.tables);
    const partition = swept === undefined ? undefined : this.pick(swept.partitions);
    if (swept === undefined || partition === undefined) {
      return;
    }
    const place = `${swept.table}/${partition}`;
    const page = await this.parts.table.read({
      from: this.cursors.get(place) ?? '',
      limit: ROWS_PER_LOOK,
      partition,
      table: swept.table,
    });
    if (page.err) {
      this.logFailure(swept.table, page.val.message);
      return;
    }
    const lastKey = page.val.rows.at(-1)?.key;
    const next = page.val.isTruncated && lastKey !== undefined ? `${lastKey}\u0000` : '';
    this.cursors.set(place, next);
    const ended = page.val.rows.filter(row => this.hasEnded(swept, row));
    for (const batch of batchesOf(swept, ended)) {
      await this.remove(swept, batch);
    }
  }

  private hasEnded(swept: SweptTable, row: PartitionedRow): boolean {
    const expiresAt = swept.expiresAt(row);
    const now = this.parts.timers.wallClock();
    return expiresAt !== undefined && now >= expiresAt + CLOCK_MARGIN_MILLISECONDS;
  }

  /** Removes rows together unless one of them has changed since: another look finds the others again. */
  private async remove(swept: SweptTable, rows: readonly PartitionedRow[]): Promise<void> {
    const removed = await this.parts.table.transact({
      checks: rows,
      removals: rows.flatMap(row => swept.keysOf(row).map(key => ({ ...row, key }))),
      writes: [],
    });
    if (removed.err) {
      this.logFailure(swept.table, removed.val.message);
    }
  }

  private logFailure(table: string, failure: string): void {
    this.parts.logger.warn({ event: 'sweep-failed', failure, table }, 'rows that ended are kept');
  }

  private pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.parts.random() * items.length)];
  }
}

/** Divides rows so that the checks and removals of each batch fit into one transaction. */
function batchesOf(
  swept: SweptTable,
  rows: readonly PartitionedRow[],
): readonly (readonly PartitionedRow[])[] {
  const batches: PartitionedRow[][] = [];
  let entries = MAXIMUM_ENTRIES;
  for (const row of rows) {
    const further = 1 + swept.keysOf(row).length;
    if (entries + further > MAXIMUM_ENTRIES) {
      batches.push([]);
      entries = 0;
    }
    batches.at(-1)?.push(row);
    entries += further;
  }
  return batches;
}
