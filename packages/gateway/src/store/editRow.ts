import type { Result, TimerService } from '@zincring/core';
import type { PartitionedTable, PlatformError, RowAddress } from '@zincring/platform';

import { Err, Ok, sleep } from '@zincring/core';

/** A row as it was last known. */
export interface KnownRow {
  readonly value: Buffer | undefined;
  /** 0 for an absent row. */
  readonly version: number;
}

/** The row that nobody has written yet. */
export const absentRow: KnownRow = { value: undefined, version: 0 };

/** What an edit wants: to write a new value, or to leave the row as it is. */
export type RowEdit<Answer> =
  | { readonly kind: 'leave'; readonly answer: Answer }
  | { readonly kind: 'write'; readonly answer: Answer; readonly value: Buffer };

/** The outcome of an edit. */
export interface EditedRow<Answer> {
  readonly answer: Answer;
  readonly row: KnownRow;
  /** Whether the store has confirmed the row that the answer was drawn from. */
  readonly isConfirmed: boolean;
  /** Steady clock of the store when it answered last; absent when it was not asked. */
  readonly storeTime: number | undefined;
}

/** How long an edit may take. */
export interface EditOptions {
  /** Ends the edit; a write that was sent may still take effect. */
  readonly signal: AbortSignal;
  /** Tries after failures of the store. */
  readonly maximumFailures: number;
  /** Whether to read the row first, because what is known of it is likely old: reads are cheaper than conflicts. */
  readonly readsFirst: boolean;
  /** Spreads writers that met the same conflict; from 0 to 1. */
  readonly random: () => number;
}

/** Pause after a failure of the store, in milliseconds: a few of its usual answers. */
const FAILURE_PAUSE = 10;
/** Longest pause after a first conflict, in milliseconds: one transaction of the store; it doubles with each further one. */
const CONFLICT_PAUSE = 6;
/** Conflicts after which the pause grows no more. */
const CONFLICT_DOUBLINGS = 4;

/**
 * Changes a row under the condition that nobody else has. A write whose answer is lost is sent
 * again under the same condition, so at most one of the two takes effect; `edit` must recognise
 * its own earlier write in the row that it is given; the steady clock of the store comes with it
 * once the store has answered.
 *
 * @example
 * const edited = await editRow(table, timers, address, absentRow, edit, options);
 */
export async function editRow<Answer>(
  table: PartitionedTable,
  timers: TimerService,
  address: RowAddress,
  known: KnownRow,
  edit: (row: KnownRow, storeTime: number | undefined) => RowEdit<Answer>,
  options: EditOptions,
): Promise<Result<EditedRow<Answer>, PlatformError>> {
  let row = known;
  let isConfirmed = false;
  let storeTime: number | undefined;
  let failures = 0;
  let conflicts = 0;
  let isReading = options.readsFirst;
  for (;;) {
    if (isReading) {
      const read = await readRow(table, address);
      if (read.ok) {
        ({ row, storeTime } = read.val);
        isConfirmed = true;
        isReading = false;
      } else if (++failures > options.maximumFailures || options.signal.aborted) {
        return read;
      } else {
        await sleep(timers, failurePause(failures, options), options.signal);
        continue;
      }
    }
    const wanted = edit(row, storeTime);
    if (wanted.kind === 'leave') {
      return Ok({ answer: wanted.answer, isConfirmed, row, storeTime });
    }
    const outcome = await table.transact({
      checks: [{ ...address, version: row.version }],
      removals: [],
      writes: [{ ...address, value: wanted.value }],
    });
    if (outcome.ok && outcome.val.status === 'committed') {
      const written = { value: wanted.value, version: outcome.val.version };
      storeTime = outcome.val.storeTime;
      return Ok({ answer: wanted.answer, isConfirmed: true, row: written, storeTime });
    }
    if (outcome.err) {
      failures++;
      if (failures > options.maximumFailures || options.signal.aborted) {
        return Err(outcome.val);
      }
      await sleep(timers, failurePause(failures, options), options.signal);
      continue;
    }
    if (outcome.val.status === 'conflict') {
      row = outcome.val.rows.find(found => found.key === address.key) ?? absentRow;
      storeTime = outcome.val.storeTime;
      isConfirmed = true;
      const longest = CONFLICT_PAUSE * 2 ** Math.min(conflicts++, CONFLICT_DOUBLINGS);
      await sleep(timers, options.random() * longest, options.signal);
    }
  }
}

/**
 * Reads one row.
 *
 * @example
 * const read = await readRow(table, address);
 */
export async function readRow(
  table: PartitionedTable,
  address: RowAddress,
): Promise<Result<{ readonly row: KnownRow; readonly storeTime: number }, PlatformError>> {
  const page = await table.read({ ...address, from: address.key, limit: 1 });
  return page.map(({ rows, storeTime }) => ({
    row: rows.find(({ key }) => key === address.key) ?? absentRow,
    storeTime,
  }));
}

/** Doubles with each failure and spreads, so that a store over its rate is not pressed further. */
function failurePause(failures: number, { random }: EditOptions): number {
  return FAILURE_PAUSE * 2 ** failures * (0.5 + random());
}
