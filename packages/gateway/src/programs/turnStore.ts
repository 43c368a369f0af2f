import type { Logger, Result, TimerService } from '@zincring/core';
import type { PartitionedRow, PlatformError } from '@zincring/platform';

import { BodyContent, Err, failureText, Ok, sleep, ZincringError } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { TurnId } from '../callers/requestFacts.js';
import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { StoredTurn } from './storedTurnRows.js';

import { computeBackoffMilliseconds } from '../store/backoff.js';
import { decodeTurn, encodeTurn, isChunkOf, TURN_TABLE, turnPartitions } from './storedTurnRows.js';

/** A turn in progress that is stored when it ends. */
export interface TurnDraft {
  /** Appends the data of the next event. */
  addOutput(data: Buffer): void;
  /** Stores the turn; `false` if the store has not confirmed it when the signal aborts. */
  save(signal: AbortSignal): Promise<boolean>;
}

/** A request body preceded by its history. */
export interface ComposedRequest {
  /** Body to send to the replica. */
  readonly body: Buffer;
  /** Collects the turn; `undefined` if the turn is not to be stored. */
  readonly turn: TurnDraft | undefined;
}

/** Dependencies of the turn store. */
export interface TurnStoreDependencies {
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
/** Maximum size of the output of a turn that is stored, in bytes. */
const MAXIMUM_OUTPUT_BYTES = 1024 * 1024;
/** First and longest pause between attempts while the store fails, in milliseconds: a few times its usual response time. */
const RETRY_PAUSES = { initialMilliseconds: 30, maximumMilliseconds: 150 };
/** Maximum number of reads of one turn while the store fails. */
const MAXIMUM_READS = 4;

/** Earlier turns of a conversation, oldest first. */
type TurnChain = readonly StoredTurn[];

/**
 * Stores the conversation history of routes on which callers send only their new input. Each turn
 * is stored with its own input and output and the ids of its ancestors before its caller receives
 * the end of the response.
 *
 * @example
 * const composed = await turnStore.compose(request, signal);
 */
export class TurnStore {
  private readonly cache = new LRUCache<TurnId, StoredTurn>({
    maxSize: CACHE_BYTES,
    sizeCalculation: turn => turn.input.length + turn.output.length + 200,
  });

  public constructor(private readonly dependencies: TurnStoreDependencies) {}

  /** Prepends the history to the new input of a request. */
  public async compose(
    request: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<ComposedRequest, ZincringError>> {
    if (!request.route.storesTurns) {
      return Ok({ body: request.body, turn: undefined });
    }
    if (request.facts.lastEventId !== undefined) {
      // The output of the turn would lack the events that another request has delivered.
      return Err(
        new ZincringError('upstream-unavailable', {
          detail: 'a turn that is stored cannot be taken up in the middle of its stream',
        }),
      );
    }
    const chain = await this.loadChain(request, signal);
    if (chain.err) {
      return chain;
    }
    const history = chain.val.flatMap(turn => [turn.input, turn.output]);
    return Ok({
      body: Buffer.concat([...history, request.body]),
      turn: this.createDraft(request, chain.val),
    });
  }

  private async loadChain(
    { facts, workspace }: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<TurnChain, ZincringError>> {
    if (facts.previousTurn === undefined) {
      return Ok([]);
    }
    const last = await this.load(facts.previousTurn, signal);
    if (last.err) {
      return last;
    }
    if (last.val === undefined || last.val.workspace !== workspace) {
      this.dependencies.logger.warn(
        { event: 'turn-unknown', previousTurn: facts.previousTurn, request: facts.requestId },
        'the workspace has no stored turn with this id',
      );
      return Err(new ZincringError('program-not-found', { detail: 'no such turn is kept' }));
    }
    const ancestors = await Promise.all(last.val.ancestors.map(id => this.load(id, signal)));
    const chain: StoredTurn[] = [];
    for (const ancestor of ancestors) {
      if (ancestor.err) {
        return ancestor;
      }
      if (ancestor.val === undefined) {
        return Err(this.createStoreUnavailableError('an earlier turn of the chain is missing'));
      }
      chain.push(ancestor.val);
    }
    return Ok([...chain, last.val]);
  }

  private async load(
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
    return Err(this.createStoreUnavailableError(failure));
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
      return Err(this.createStoreUnavailableError('the turn cannot be read'));
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

  private createDraft(request: RunnableRequest, chain: TurnChain): TurnDraft | undefined {
    const { facts, route, workspace } = request;
    if (facts.requestId === undefined) {
      return undefined;
    }
    const output = new BodyContent();
    let outputBytes = 0;
    const id = facts.requestId as string as TurnId;
    return {
      addOutput: data => {
        outputBytes += data.length + LINE_FEED.length;
        if (outputBytes > MAXIMUM_OUTPUT_BYTES) {
          output.clear();
          return;
        }
        output.append(data);
        output.append(LINE_FEED);
      },
      save: async signal => {
        if (outputBytes > MAXIMUM_OUTPUT_BYTES) {
          this.dependencies.logger.warn(
            { event: 'turn-too-large', outputBytes, request: id },
            'a turn is too large to be stored',
          );
          return false;
        }
        const turn: StoredTurn = {
          ancestors: chain.map(ancestor => ancestor.id),
          expiresAt: this.dependencies.timers.wallClock() + 2 * route.retentionMilliseconds,
          id,
          input: request.body,
          output: output.complete(),
          workspace,
        };
        return await this.store(turn, signal);
      },
    };
  }

  private createStoreUnavailableError(detail: string): ZincringError {
    const { retryAfterSeconds } = this.dependencies.table;
    return new ZincringError('store-unavailable', { detail, retryAfterSeconds });
  }

  private async store(turn: StoredTurn, signal: AbortSignal): Promise<boolean> {
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

  private async pause(failures: number, signal: AbortSignal): Promise<void> {
    const { random, timers } = this.dependencies;
    await sleep(timers, computeBackoffMilliseconds(failures, { ...RETRY_PAUSES, random }), signal);
  }
}

const LINE_FEED = Buffer.from('\n');

function isAlreadyStored(
  rows: readonly PartitionedRow[],
  writes: readonly { readonly key: string; readonly value: Buffer }[],
): boolean {
  return rows.some(row =>
    writes.some(({ key, value }) => key === row.key && value.equals(row.value)),
  );
}
