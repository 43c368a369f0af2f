import type { Logger, TimerService } from '@zincring/core';

import { sha256Hex } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { TurnId } from '../callers/requestFacts.js';
import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { StoredTurn, TurnChain } from './storedTurnRows.js';
import type { TurnRows } from './turnRows.js';

import { computeSegmentBytes } from './storedTurnRows.js';
import {
  computeExpiry,
  computeKeptMilliseconds,
  findBeginning,
  outlivesRetention,
} from './turnRetention.js';

/** Dependencies of a {@link HistoryRenewal}. */
export interface HistoryRenewalDependencies {
  readonly rows: TurnRows;
  /** Maximum size of a row, in bytes. */
  readonly rowBytes: number;
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Rows that hold the history up to a turn. */
interface RenewedHistory {
  readonly ids: readonly TurnId[];
  readonly expiresAt: number;
}

/** Maximum number of turns of which this instance remembers their renewed history. */
const MAXIMUM_RENEWED_HISTORIES = 10_000;
/** Length of the digest in the id of a segment. */
const DIGEST_LENGTH = 32;

/**
 * Keeps the history of a conversation for as long as its newest turn is kept. Rows are never extended: where
 * one of them would expire too early, the whole history is stored again, in segments that the new turn names
 * as its ancestors in their place. Other turns that name the same ancestors are not affected.
 *
 * @example
 * const ancestors = await renewal.keep(request, chain, signal);
 */
export class HistoryRenewal {
  private readonly renewedHistories = new LRUCache<TurnId, RenewedHistory>({
    max: MAXIMUM_RENEWED_HISTORIES,
  });

  public constructor(private readonly dependencies: HistoryRenewalDependencies) {}

  /**
   * Returns the ids of rows that hold the history before a turn and outlive its retention; `undefined` if the
   * store has not confirmed them when the signal aborts.
   */
  public async keep(
    request: RunnableRequest,
    chain: TurnChain,
    signal: AbortSignal,
  ): Promise<readonly TurnId[] | undefined> {
    const { route } = request;
    const now = this.dependencies.timers.wallClock();
    const last = chain.at(-1);
    if (last === undefined || chain.every(turn => outlivesRetention(turn, route, now))) {
      return chain.map(({ id }) => id);
    }
    const renewed = this.renewedHistories.get(last.id);
    if (renewed !== undefined && outlivesRetention(renewed, route, now)) {
      return renewed.ids;
    }
    return await this.renew(request, chain, last, signal);
  }

  private async renew(
    request: RunnableRequest,
    chain: TurnChain,
    last: StoredTurn,
    signal: AbortSignal,
  ): Promise<readonly TurnId[] | undefined> {
    const segments = this.makeSegments(request, chain);
    const areStored = await Promise.all(
      segments.map(async segment => await this.dependencies.rows.store(segment, signal)),
    );
    const fields = {
      bytes: segments.reduce((sum, { input }) => sum + input.length, 0),
      previousTurn: last.id,
      request: request.facts.requestId,
      segments: segments.length,
      turns: chain.length,
    };
    if (areStored.includes(false)) {
      this.dependencies.logger.warn(
        { ...fields, event: 'history-not-renewed' },
        'could not store the history of a turn again before it expires',
      );
      return undefined;
    }
    this.dependencies.logger.info(
      { ...fields, event: 'history-renewed' },
      'stored the history of a turn again before it expires',
    );
    const ids = segments.map(({ id }) => id);
    const expiresAt = Math.min(...segments.map(segment => segment.expiresAt));
    this.renewedHistories.set(last.id, { expiresAt, ids });
    return ids;
  }

  private makeSegments(request: RunnableRequest, chain: TurnChain): TurnChain {
    const { facts, route, workspace } = request;
    const segmentBytes = computeSegmentBytes(this.dependencies.rowBytes);
    const now = this.dependencies.timers.wallClock();
    const beganAt = findBeginning(chain) ?? now;
    const history = Buffer.concat(chain.flatMap(turn => [turn.input, turn.output]));
    const digest = sha256Hex(`${workspace ?? ''}\n${facts.requestId ?? ''}`);
    const name = digest.slice(0, DIGEST_LENGTH);
    const count = Math.ceil(history.length / segmentBytes);
    return Array.from({ length: count }, (_unused, index) => ({
      ancestors: [],
      beganAt,
      expiresAt: computeExpiry(route, now, beganAt),
      id: `history-${name}-${String(index)}` as TurnId,
      input: history.subarray(index * segmentBytes, (index + 1) * segmentBytes),
      isSegment: true,
      keptUntil: now + computeKeptMilliseconds(route),
      output: Buffer.alloc(0),
      workspace,
    }));
  }
}
