import type { Result, TimerService } from '@zincring/core';

import { Err, Ok, sleep } from '@zincring/core';

import type { Row, TableService, Transaction, TransactionOutcome } from './tableService.js';

import { PlatformError } from '../platformError.js';

/** Options of {@link transactSettled}. */
export interface SettleOptions {
  readonly timers: TimerService;
  /**
   * Key of a row that marks the commit: the transaction writes it, no other writer overwrites it
   * afterwards, and none writes the same value. Its value therefore shows that the transaction
   * took effect.
   */
  readonly commitMarkerKey: string;
  /** Whether the rows that the transaction requires to be absent are never deleted once written. */
  readonly areAbsentRowsNeverDeleted?: boolean;
  /** Maximum number of attempts. */
  readonly attempts: number;
  /** Pause between attempts, in milliseconds. */
  readonly pauseMilliseconds: number;
}

/**
 * Retries a transaction until its outcome is known; it commits at most once even if responses are
 * lost after the writes took effect. Repeating it is safe because its checks fail once it has been
 * applied. Throws a TypeError if the transaction does not both check and write the commit marker.
 *
 * A reported conflict is final: an earlier attempt that is delayed on its way to the platform fails
 * as well. This holds if a failed check expects a version above 0, since versions only grow, or if
 * the rows that had to be absent are never deleted once written. Otherwise the result is
 * `outcome-unknown`.
 *
 * @returns the outcome, or an error once the attempts are used up: `outcome-unknown` if one of them
 * may have taken effect, else `unavailable`. For a commit that was detected by its marker, the rows
 * are those that still hold the written values.
 * @example
 * const outcome = await transactSettled(table, { checks, writes }, { timers, commitMarkerKey, … });
 */
export async function transactSettled(
  table: TableService,
  transaction: Transaction,
  options: SettleOptions,
): Promise<Result<TransactionOutcome, PlatformError>> {
  requireCommitMarker(transaction, options.commitMarkerKey);
  let mayHaveApplied = false;
  for (let attempt = 0; attempt < options.attempts; attempt++) {
    if (attempt > 0) {
      await sleep(options.timers, options.pauseMilliseconds);
    }
    const outcome = await table.transact(transaction);
    if (outcome.err) {
      mayHaveApplied ||= outcome.val.failure === 'outcome-unknown';
      continue;
    }
    if (outcome.val.status === 'committed' || !mayHaveApplied) {
      return outcome;
    }
    const writtenRows = await readWrittenRows(table, transaction);
    if (writtenRows.ok) {
      return resolveConflict(transaction, options, writtenRows.val, outcome.val);
    }
  }
  const failure = mayHaveApplied ? 'outcome-unknown' : 'unavailable';
  return Err(new PlatformError(failure, `no known outcome after ${options.attempts} attempts`));
}

/**
 * Throws if the transaction does not both check and write the commit marker. The check makes the
 * transaction fail if it arrives a second time.
 */
function requireCommitMarker(transaction: Transaction, commitMarkerKey: string): void {
  const isWritten = transaction.writes.some(
    write => write.key === commitMarkerKey && write.value !== null,
  );
  const isChecked = transaction.checks.some(check => check.key === commitMarkerKey);
  if (!isWritten || !isChecked) {
    throw new TypeError(`the transaction must check and write the row ${commitMarkerKey}`);
  }
}

async function readWrittenRows(
  table: TableService,
  transaction: Transaction,
): Promise<Result<readonly Row[], PlatformError>> {
  const result = await table.read(transaction.writes.map(write => write.key));
  return result.map(rows =>
    rows.filter((row, index) =>
      holdsWrittenValue(row, transaction, transaction.writes[index]?.value),
    ),
  );
}

/** Whether a row holds the value that the transaction wrote, not an equal value from before it. */
function holdsWrittenValue(
  row: Row,
  transaction: Transaction,
  value: string | null | undefined,
): boolean {
  const checkedVersion = transaction.checks.find(check => check.key === row.key)?.version;
  return row.version > 0 && row.version !== checkedVersion && row.value === value;
}

/** Distinguishes a conflict with another writer from one with an earlier attempt of the caller. */
function resolveConflict(
  transaction: Transaction,
  options: SettleOptions,
  writtenRows: readonly Row[],
  conflict: TransactionOutcome,
): Result<TransactionOutcome, PlatformError> {
  if (writtenRows.some(row => row.key === options.commitMarkerKey)) {
    return Ok({ rows: writtenRows, status: 'committed' });
  }
  return options.areAbsentRowsNeverDeleted === true || hasOutdatedCheck(transaction, conflict)
    ? Ok(conflict)
    : Err(new PlatformError('outcome-unknown', 'a late attempt may still take effect'));
}

/** Whether a failed check expects a version above 0, which the row can never have again. */
function hasOutdatedCheck(transaction: Transaction, conflict: TransactionOutcome): boolean {
  const failedKeys = new Set(conflict.rows.map(row => row.key));
  return transaction.checks.some(check => failedKeys.has(check.key) && check.version > 0);
}
