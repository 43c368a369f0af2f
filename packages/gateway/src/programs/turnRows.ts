import type { Logger, Result, TimerService } from '@zincring/core';
import type { PartitionedRow, PlatformError } from '@zincring/platform';

import { Err, failureText, Ok, sleep, ZincringError } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { TurnId } from '../callers/requestFacts.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { StoredTurn } from './storedTurnRows.js';

import { computeBackoffMilliseconds } from '../store/backoff.js';
import { decodeTurn, encodeTurn, isChunkOf, TURN_TABLE, turnPartitions } from './storedTurnRows.js';

/** Dependencies of {@link TurnRows}. */
export interface TurnRowsDependencies {
  readonly table: MonitoredTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Maximum size of a row, in bytes. */
  readonly rowBytes: number;
  /** Returns a number from 0 to 1, for the jitter of the pauses. */
  readonly random: () => number;
}

/** Size of the cache of turns, in bytes: a small part of the memory of the smallest instance. */
const CACHE_BYTES = 12 * 1024 * 1024;
/** First and longest pause between attempts while the store fails, in milliseconds: a few times its usual response time. */
const RETRY_PAUSES = { initialMilliseconds: 30, maximumMilliseconds: 150 };
/** Maximum number of reads of one turn while the store fails. */
const MAXIMUM_READS = 4;

/**
 * Reads and writes stored turns, with retries and a cache. Rows of a turn never change once they are written.
 *
 * @example
 * const loaded = await rows.load('9c41' as TurnId, signal);
 */
export class TurnRows {
  private readonly cache = new LRUCache<TurnId, StoredTurn>({
    maxSize: CACHE_BYTES,
    sizeCalculation: turn => turn.input.length + turn.output.length + 200,
  });

  public constructor(private readonly dependencies: TurnRowsDependencies) {}

  /** Loads a turn; `undefined` if it is not stored. Fails with `store-unavailable` if that is not known. */
  public async load(
    id: TurnId,
    signal: AbortSignal,
  ): Promise<Result<StoredTurn | undefined, ZincringError>> {
    const cached = this.cache.get(id);
    if (cached !== undefined) {
      return Ok(cached);
    }
    let failure = 'the store is away';
    for (
      let attempts = 0;
      attempts < MAXIMUM_READS && !signal.aborted && !this.dependencies.table.isUnavailable;
      attempts++
    ) {
      const rows = await this.readRows(id);
      if (rows.ok) {
        return this.decode(id, rows.val);
      }
      failure = rows.val.message;
      await this.pause(attempts + 1, signal);
    }
    return Err(this.createUnavailableError(failure));
  }

  /** Stores a turn in one transaction; `false` if the store has not confirmed it when the signal aborts. */
  public async store(turn: StoredTurn, signal: AbortSignal): Promise<boolean> {
    const partition = turnPartitions.of(turn.id);
    const writes = encodeTurn(turn, this.dependencies.rowBytes).map(chunk => ({
      ...chunk,
      partition,
      table: TURN_TABLE,
    }));
    for (let attempts = 1; !signal.aborted; attempts++) {
      const outcome = await this.dependencies.table.essential.transact({
        checks: [{ key: turn.id, partition, table: TURN_TABLE, version: 0 }],
        removals: [],
        writes,
      });
      if (
        outcome.ok &&
        (outcome.val.status === 'committed' || isAlreadyStored(outcome.val.rows, writes))
      ) {
        this.cache.set(turn.id, turn);
        return true;
      }
      if (outcome.ok) {
        return false;
      }
      this.dependencies.logger.warn(
        { event: 'turn-not-kept', failure: outcome.val.message, request: turn.id },
        'could not store a turn',
      );
      await this.pause(attempts, signal);
    }
    return false;
  }

  /** Creates the error for a request whose history is not certain. */
  public createUnavailableError(detail: string): ZincringError {
    const { retryAfterSeconds } = this.dependencies.table;
    return new ZincringError('store-unavailable', { detail, retryAfterSeconds });
  }

  private decode(
    id: TurnId,
    rows: readonly PartitionedRow[],
  ): Result<StoredTurn | undefined, ZincringError> {
    try {
      const turn = decodeTurn(id, rows);
      if (turn !== undefined) {
        this.cache.set(id, turn);
      }
      return Ok(turn);
    } catch (failure) {
      this.dependencies.logger.warn(
        { event: 'row-unreadable', failure: failureText(failure), row: id, table: TURN_TABLE },
        'a stored turn cannot be read, so it is kept',
      );
      return Err(this.createUnavailableError('the turn cannot be read'));
    }
  }

  private async readRows(id: TurnId): Promise<Result<readonly PartitionedRow[], PlatformError>> {
    const page = await this.dependencies.table.read({
      from: id,
      partition: turnPartitions.of(id),
      table: TURN_TABLE,
      to: `${id}\u007f`,
    });
    return page.ok ? Ok(page.val.rows.filter(row => isChunkOf(id, row.key))) : page;
  }

  private async pause(failures: number, signal: AbortSignal): Promise<void> {
    const { random, timers } = this.dependencies;
    await sleep(timers, computeBackoffMilliseconds(failures, { ...RETRY_PAUSES, random }), signal);
  }
}

function isAlreadyStored(
  rows: readonly PartitionedRow[],
  writes: readonly { readonly key: string; readonly value: Buffer }[],
): boolean {
  return rows.some(row =>
    writes.some(({ key, value }) => key === row.key && value.equals(row.value)),
  );
}
