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
  /** Spreads writers that met the same conflict; from 0 to 1. */
  readonly random: () => number;
}

/** Pause after a failure of the store, in milliseconds: a few of its usual answers. */
const FAILURE_PAUSE = 20;
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
  for (;;) {
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
      await sleep(timers, FAILURE_PAUSE * failures, options.signal);
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
