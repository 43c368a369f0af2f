import type { Logger, Result, TimerService } from '@zincring/core';
import type { PartitionedRow, PlatformError } from '@zincring/platform';

import { Err, Ok, sleep, ZincringError } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { TurnId } from '../callers/requestFacts.js';
import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { WatchedTable } from '../store/watchedTable.js';
import type { KeptTurn } from './keptTurnRows.js';

import { decodeTurn, encodeTurn, isChunkOf, TURN_TABLE, turnPartitions } from './keptTurnRows.js';

/** A turn that is under way and will be kept. */
export interface KeptTurnDraft {
  /** Takes in the data of an event, in order. */
  addOutput(data: Buffer): void;
  /** Makes the turn durable; `false` when that is not certain by the time the signal aborts. */
  save(signal: AbortSignal): Promise<boolean>;
}

/** A request with its history. */
export interface ComposedRequest {
  /** What the replica is to receive. */
  readonly body: Buffer;
  /** Present when the turn will be kept. */
  readonly turn: KeptTurnDraft | undefined;
}

/** What a {@link KeptTurns} works with. */
export interface KeptTurnParts {
  readonly table: WatchedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Most bytes that one row holds. */
  readonly rowBytes: number;
}

/** Memory for turns of running programs, in bytes: a small part of the smallest instance. */
const CACHE_BYTES = 12 * 1024 * 1024;
/** Pause between tries while the store fails, in milliseconds: a few of its usual answers. */
const FAILURE_PAUSE = 30;
/** Reads of one turn while the store fails. */
const MAXIMUM_READS = 4;

type Chain = readonly KeptTurn[];

/**
 * Keeps what was said on routes where callers send only what is new. Each turn is stored with its
 * own input and output and the ids of its ancestors, before its caller learns that it has ended.
 *
 * @example
 * const composed = await keptTurns.compose(request, signal);
 */
export class KeptTurns {
  private readonly cache = new LRUCache<TurnId, KeptTurn>({
    maxSize: CACHE_BYTES,
    sizeCalculation: turn => turn.input.length + turn.output.length + 200,
  });

  public constructor(private readonly parts: KeptTurnParts) {}

  /** Puts the history before the new input of a request. */
  public async compose(
    request: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<ComposedRequest, ZincringError>> {
    if (!request.route.keepsTurns) {
      return Ok({ body: request.body, turn: undefined });
    }
    const chain = await this.loadChain(request, signal);
    if (chain.err) {
      return chain;
    }
    const history = chain.val.flatMap(turn => [turn.input, turn.output]);
    return Ok({
      body: Buffer.concat([...history, request.body]),
      turn: this.draft(request, chain.val),
    });
  }

  private async loadChain(
    { facts, workspace }: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<Chain, ZincringError>> {
    if (facts.previousTurn === undefined) {
      return Ok([]);
    }
    const last = await this.load(facts.previousTurn, signal);
    if (last.err) {
      return last;
    }
    if (last.val === undefined || last.val.workspace !== workspace) {
      this.parts.logger.warn(
        { event: 'turn-unknown', previousTurn: facts.previousTurn, request: facts.requestId },
        'no such turn is kept for the workspace',
      );
      return Err(new ZincringError('program-not-found', { detail: 'no such turn is kept' }));
    }
    const ancestors = await Promise.all(last.val.ancestors.map(id => this.load(id, signal)));
    const chain: KeptTurn[] = [];
    for (const ancestor of ancestors) {
      if (ancestor.err) {
        return ancestor;
      }
      if (ancestor.val === undefined) {
        return Err(this.storeError('an earlier turn of the chain is missing'));
      }
      chain.push(ancestor.val);
    }
    return Ok([...chain, last.val]);
  }

  private async load(
    id: TurnId,
    signal: AbortSignal,
  ): Promise<Result<KeptTurn | undefined, ZincringError>> {
    const cached = this.cache.get(id);
    if (cached !== undefined) {
      return Ok(cached);
    }
    let failure = 'the store is away';
    for (
      let tries = 0;
      tries < MAXIMUM_READS && !signal.aborted && !this.parts.table.isAway;
      tries++
    ) {
      const rows = await this.readRows(id);
      if (rows.ok) {
        const turn = decodeTurn(id, rows.val);
        if (turn !== undefined) {
          this.cache.set(id, turn);
        }
        return Ok(turn);
      }
      failure = rows.val.message;
      await sleep(this.parts.timers, FAILURE_PAUSE, signal);
    }
    return Err(this.storeError(failure));
  }

  private async readRows(id: TurnId): Promise<Result<readonly PartitionedRow[], PlatformError>> {
    const page = await this.parts.table.read({
      from: id,
      partition: turnPartitions.of(id),
      table: TURN_TABLE,
      to: `${id}\u007f`,
    });
    return page.ok ? Ok(page.val.rows.filter(row => isChunkOf(id, row.key))) : page;
  }

  private draft(request: RunnableRequest, chain: Chain): KeptTurnDraft | undefined {
    const { facts, route, workspace } = request;
    if (facts.requestId === undefined) {
      return undefined;
    }
    const outputs: Buffer[] = [];
    const id = facts.requestId as string as TurnId;
    return {
      addOutput: data => {
        outputs.push(data, LINE_FEED);
      },
      save: async signal => {
        const turn: KeptTurn = {
          ancestors: chain.map(ancestor => ancestor.id),
          expiresAt: this.parts.timers.wallClock() + 2 * route.retentionMilliseconds,
          id,
          input: request.body,
          output: Buffer.concat(outputs),
          workspace,
        };
        return await this.store(turn, signal);
      },
    };
  }

  private storeError(detail: string): ZincringError {
    const { retryAfterSeconds } = this.parts.table;
    return new ZincringError('store-unavailable', { detail, retryAfterSeconds });
  }

  private async store(turn: KeptTurn, signal: AbortSignal): Promise<boolean> {
    const partition = turnPartitions.of(turn.id);
    const writes = encodeTurn(turn, this.parts.rowBytes).map(chunk => ({
      ...chunk,
      partition,
      table: TURN_TABLE,
    }));
    while (!signal.aborted) {
      const outcome = await this.parts.table.transact({
        checks: [{ key: turn.id, partition, table: TURN_TABLE, version: 0 }],
        removals: [],
        writes,
      });
      if (
        outcome.ok &&
        (outcome.val.status === 'committed' || isSameTurn(outcome.val.rows, writes))
      ) {
        this.cache.set(turn.id, turn);
        return true;
      }
      if (outcome.ok) {
        return false;
      }
      this.parts.logger.warn(
        { event: 'turn-not-kept', failure: outcome.val.message, request: turn.id },
        'a turn is not yet durable',
      );
      await sleep(this.parts.timers, FAILURE_PAUSE, signal);
    }
    return false;
  }
}

const LINE_FEED = Buffer.from('\n');

function isSameTurn(
  rows: readonly PartitionedRow[],
  writes: readonly { readonly key: string; readonly value: Buffer }[],
): boolean {
  return rows.some(row =>
    writes.some(({ key, value }) => key === row.key && value.equals(row.value)),
  );
}
