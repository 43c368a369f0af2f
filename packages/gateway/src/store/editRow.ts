import type { Result, TimerService } from '@zincring/core';
import type { PartitionedTable, RowAddress } from '@zincring/platform';

import { Err, failureText, Ok, sleep } from '@zincring/core';
import { PlatformError } from '@zincring/platform';

import { computeBackoffMilliseconds } from './backoff.js';

/** A row as this process last knew it. */
export interface KnownRow {
  readonly value: Buffer | undefined;
  /** 0 for an absent row. */
  readonly version: number;
}

/** A row that does not exist in the store. */
export const absentRow: KnownRow = { value: undefined, version: 0 };

/** Decision of an edit, with its result: to write a new value, or to leave the row as it is. */
export type RowEdit<EditResult> =
  | { readonly kind: 'leave'; readonly result: EditResult }
  | { readonly kind: 'write'; readonly result: EditResult; readonly value: Buffer };

/** Outcome of {@link editRow}. */
export interface EditedRow<EditResult> {
  readonly result: EditResult;
  readonly row: KnownRow;
  /** Whether the store has confirmed the row on which the result is based. */
  readonly isConfirmed: boolean;
  /** Time on the store's monotonic clock at its last answer, in milliseconds; `undefined` if the store was not called. */
  readonly storeTime: number | undefined;
}

/** Options of {@link editRow}. */
export interface EditOptions {
  /** Stops the edit after its next failure; a write that was sent may still take effect. */
  readonly signal: AbortSignal;
  /** Number of store failures up to which the edit is retried. */
  readonly maximumFailures: number;
  /** Whether to read the row first because the known row is likely out of date: reads are cheaper than conflicts. */
  readonly readsFirst: boolean;
  /** Returns a number from 0 to 1, for the jitter of the pauses. */
  readonly random: () => number;
}

/** First pause after a store failure, in milliseconds: a few times its usual response time. */
const INITIAL_BACKOFF_MILLISECONDS = 20;
/** Maximum pause after store failures, in milliseconds. */
const MAXIMUM_BACKOFF_MILLISECONDS = 400;
/** Maximum pause after the first conflict: the time of one transaction. It doubles with each further conflict. */
const CONFLICT_BACKOFF_MILLISECONDS = 6;
/** Number of refusals by the rate of the store up to which an edit is retried: more of them would keep it overloaded. */
const MAXIMUM_RATE_REFUSALS = 1;
/** Conflicts after which the pause no longer grows. */
const MAXIMUM_CONFLICT_DOUBLINGS = 4;

/**
 * Changes a row by compare-and-set on its version, with retries. A write whose answer is lost is
 * sent again with the same version, so that at most one of the two takes effect. `edit` must
 * recognise its own earlier write in the row that it receives. It also receives the time on the
 * store's monotonic clock once the store has answered.
 *
 * @example
 * const edited = await editRow(table, timers, address, absentRow, edit, options);
 */
export async function editRow<EditResult>(
  table: PartitionedTable,
  timers: TimerService,
  address: RowAddress,
  known: KnownRow,
  edit: (row: KnownRow, storeTime: number | undefined) => RowEdit<EditResult>,
  options: EditOptions,
): Promise<Result<EditedRow<EditResult>, PlatformError>> {
  let row = known;
  let isConfirmed = false;
  let storeTime: number | undefined;
  let failures = 0;
  let conflicts = 0;
  if (options.readsFirst) {
    const read = await readWithRetries(table, timers, address, options);
    if (read.err) {
      return read;
    }
    ({ failures, row, storeTime } = read.val);
    isConfirmed = true;
  }
  for (;;) {
    const decided = decideEdit(edit, row, storeTime);
    if (decided.err) {
      return decided;
    }
    const rowEdit = decided.val;
    if (rowEdit.kind === 'leave') {
      return Ok({ result: rowEdit.result, isConfirmed, row, storeTime });
    }
    const outcome = await table.transact({
      checks: [{ ...address, version: row.version }],
      removals: [],
      writes: [{ ...address, value: rowEdit.value }],
    });
    if (outcome.ok && outcome.val.status === 'committed') {
      const writtenRow = { value: rowEdit.value, version: outcome.val.version };
      storeTime = outcome.val.storeTime;
      return Ok({ result: rowEdit.result, isConfirmed: true, row: writtenRow, storeTime });
    }
    if (outcome.err) {
      if (isFinalFailure(outcome.val, ++failures, options)) {
        return Err(outcome.val);
      }
      await sleep(timers, computeFailureBackoffMilliseconds(failures, options), options.signal);
      continue;
    }
    if (outcome.val.status === 'conflict') {
      row = outcome.val.rows.find(candidate => candidate.key === address.key) ?? absentRow;
      storeTime = outcome.val.storeTime;
      isConfirmed = true;
      await sleep(timers, computeConflictBackoffMilliseconds(conflicts++, options), options.signal);
    }
  }
}

/** Reads the row before an edit; its failures count with those of the writes. */
async function readWithRetries(
  table: PartitionedTable,
  timers: TimerService,
  address: RowAddress,
  options: EditOptions,
): Promise<
  Result<
    { readonly failures: number; readonly row: KnownRow; readonly storeTime: number },
    PlatformError
  >
> {
  for (let failures = 0; ;) {
    const read = await readRow(table, address);
    if (read.ok) {
      return Ok({ ...read.val, failures });
    }
    if (isFinalFailure(read.val, ++failures, options)) {
      return read;
    }
    await sleep(timers, computeFailureBackoffMilliseconds(failures, options), options.signal);
  }
}

/** Runs an edit; a row that it cannot read is a failure of this row, as if the store did not have it ready. */
function decideEdit<EditResult>(
  edit: (row: KnownRow, storeTime: number | undefined) => RowEdit<EditResult>,
  row: KnownRow,
  storeTime: number | undefined,
): Result<RowEdit<EditResult>, PlatformError> {
  try {
    return Ok(edit(row, storeTime));
  } catch (failure) {
    return Err(new PlatformError('unavailable', `the row cannot be read: ${failureText(failure)}`));
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

function isFinalFailure(
  { failure }: PlatformError,
  failures: number,
  { maximumFailures, signal }: EditOptions,
): boolean {
  const retriedFailures =
    failure === 'rate-limited' ? Math.min(MAXIMUM_RATE_REFUSALS, maximumFailures) : maximumFailures;
  return failures > retriedFailures || signal.aborted;
}

function computeConflictBackoffMilliseconds(conflicts: number, { random }: EditOptions): number {
  const doublings = Math.min(conflicts, MAXIMUM_CONFLICT_DOUBLINGS);
  return random() * CONFLICT_BACKOFF_MILLISECONDS * 2 ** doublings;
}

function computeFailureBackoffMilliseconds(failures: number, { random }: EditOptions): number {
  return computeBackoffMilliseconds(failures, {
    initialMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
    maximumMilliseconds: MAXIMUM_BACKOFF_MILLISECONDS,
    random,
  });
}
