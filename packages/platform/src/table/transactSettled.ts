import type { Result, TimerService } from '@zincring/core';

import { Err, Ok, sleep } from '@zincring/core';

import type { Row, TableService, Transaction, TransactionOutcome } from './tableService.js';

import { PlatformError } from '../platformError.js';

/** How to settle a transaction whose answer was lost. */
export interface SettleOptions {
  readonly timers: TimerService;
  /**
   * A row that the transaction writes and that nobody writes after it or with the same value:
   * finding the value proves that the transaction took effect.
   */
  readonly proofKey: string;
  /** Whether nobody ever deletes the rows that the transaction needs to be absent. */
  readonly areRowsKept?: boolean;
  /** How many times to ask before giving up. */
  readonly attempts: number;
  /** Pause between attempts, in milliseconds. */
  readonly pauseMilliseconds: number;
}

/**
 * Commits a transaction once, although answers may be lost after the write has taken effect.
 * Sending it again is safe because its checks fail once it has been applied; a transaction
 * without a check on a row that it writes is refused.
 *
 * A conflict is final: an attempt without an answer that arrives late fails as well. This holds
 * when a failed check names a version above 0, since versions only grow, or when the rows that had
 * to be absent are kept for good. Where neither is so the outcome is `outcome-unknown`.
 *
 * @returns the outcome, or `outcome-unknown` when the platform stayed silent; of a commit that
 * was found by its proof, the rows that still hold what was written
 * @example
 * const outcome = await transactSettled(table, { checks, writes }, { timers, proofKey, … });
 */
export async function transactSettled(
  table: TableService,
  transaction: Transaction,
  options: SettleOptions,
): Promise<Result<TransactionOutcome, PlatformError>> {
  requireGuard(transaction, options.proofKey);
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
    const written = await readWritten(table, transaction);
    if (written.ok) {
      return judge(transaction, options, written.val, outcome.val);
    }
  }
  const failure = mayHaveApplied ? 'outcome-unknown' : 'unavailable';
  return Err(new PlatformError(failure, `no answer in ${options.attempts} attempts`));
}

/** A second arrival must fail: some row that is written must be checked, and the proof too. */
function requireGuard(transaction: Transaction, proofKey: string): void {
  const isWritten = transaction.writes.some(
    write => write.key === proofKey && write.value !== null,
  );
  const isChecked = transaction.checks.some(check => check.key === proofKey);
  if (!isWritten || !isChecked) {
    throw new TypeError(`the transaction must check and write the row ${proofKey}`);
  }
}

async function readWritten(
  table: TableService,
  transaction: Transaction,
): Promise<Result<readonly Row[], PlatformError>> {
  const read = await table.read(transaction.writes.map(write => write.key));
  return read.map(rows =>
    rows.filter((row, index) => isStillWritten(row, transaction, transaction.writes[index]?.value)),
  );
}

/** Whether a row holds what the transaction wrote, and not the same from before it. */
function isStillWritten(
  row: Row,
  transaction: Transaction,
  value: string | null | undefined,
): boolean {
  const before = transaction.checks.find(check => check.key === row.key)?.version;
  return row.version > 0 && row.version !== before && row.value === value;
}

function judge(
  transaction: Transaction,
  options: SettleOptions,
  written: readonly Row[],
  conflict: TransactionOutcome,
): Result<TransactionOutcome, PlatformError> {
  if (written.some(row => row.key === options.proofKey)) {
    return Ok({ rows: written, status: 'committed' });
  }
  return options.areRowsKept === true || hasPassedVersion(transaction, conflict)
    ? Ok(conflict)
    : Err(new PlatformError('outcome-unknown', 'a late attempt may still take effect'));
}

/** Whether a failed check names a version that the row has passed for good. */
function hasPassedVersion(transaction: Transaction, conflict: TransactionOutcome): boolean {
  const failed = new Set(conflict.rows.map(row => row.key));
  return transaction.checks.some(check => failed.has(check.key) && check.version > 0);
}
