import type { Result, TimerService } from '@zincring/core';

import { Err, Ok, sleep } from '@zincring/core';

import type { Row, TableService, Transaction, TransactionOutcome } from './tableService.js';

import { PlatformError } from '../platformError.js';

/** How to settle a transaction whose answer was lost. */
export interface SettleOptions {
  readonly timers: TimerService;
  /**
   * A row that only this transaction writes, with a value that only it gives: finding the value
   * proves that the transaction took effect.
   */
  readonly proofKey: string;
  /** How many times to ask before giving up. */
  readonly attempts: number;
  /** Pause between attempts, in milliseconds. */
  readonly pauseMilliseconds: number;
}

/**
 * Commits a transaction once, although answers may be lost after the write has taken effect.
 * Sending it again is safe because its checks fail once it has been applied.
 *
 * @returns the outcome, or `outcome-unknown` when the platform stayed silent
 * @example
 * const outcome = await transactSettled(table, { checks, writes }, { timers, proofKey, … });
 */
export async function transactSettled(
  table: TableService,
  transaction: Transaction,
  options: SettleOptions,
): Promise<Result<TransactionOutcome, PlatformError>> {
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
    const proof = await table.read([options.proofKey]);
    if (proof.ok) {
      return Ok(judge(transaction, options.proofKey, proof.val[0], outcome.val));
    }
  }
  const failure = mayHaveApplied ? 'outcome-unknown' : 'unavailable';
  return Err(new PlatformError(failure, `no answer in ${options.attempts} attempts`));
}

function judge(
  transaction: Transaction,
  proofKey: string,
  proof: Row | undefined,
  conflict: TransactionOutcome,
): TransactionOutcome {
  const written = transaction.writes.find(write => write.key === proofKey)?.value;
  const isApplied = proof !== undefined && proof.version > 0 && proof.value === written;
  return isApplied ? { status: 'committed', rows: [proof] } : conflict;
}
