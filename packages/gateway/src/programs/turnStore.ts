import type { Logger, Result, TimerService } from '@zincring/core';

import { BodyContent, Err, Ok, ZincringError } from '@zincring/core';

import type { TurnId } from '../callers/requestFacts.js';
import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { StoredTurn, TurnChain } from './storedTurnRows.js';
import type { TurnRowsDependencies } from './turnRows.js';

import { HistoryRenewal } from './historyRenewal.js';
import { computeExpiry, computeKeptMilliseconds, findBeginning } from './turnRetention.js';
import { TurnRows } from './turnRows.js';

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
export interface TurnStoreDependencies extends TurnRowsDependencies {
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Maximum size of the output of a turn that is stored, in bytes. */
const MAXIMUM_OUTPUT_BYTES = 1024 * 1024;

/**
 * Stores the conversation history of routes on which callers send only their new input. Each turn
 * is stored with its own input and output and the ids of its ancestors before its caller receives
 * the end of the response; the ancestors are then stored for as long as the turn may be continued.
 *
 * @example
 * const composed = await turnStore.compose(request, signal);
 */
export class TurnStore {
  private readonly rows: TurnRows;
  private readonly renewal: HistoryRenewal;

  public constructor(private readonly dependencies: TurnStoreDependencies) {
    this.rows = new TurnRows(dependencies);
    this.renewal = new HistoryRenewal({ ...dependencies, rows: this.rows });
  }

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
    const last = await this.rows.load(facts.previousTurn, signal);
    if (last.err) {
      return last;
    }
    if (last.val === undefined || last.val.workspace !== workspace || last.val.isSegment === true) {
      this.dependencies.logger.warn(
        { event: 'turn-unknown', previousTurn: facts.previousTurn, request: facts.requestId },
        'the workspace has no stored turn with this id',
      );
      return Err(new ZincringError('program-not-found', { detail: 'no such turn is kept' }));
    }
    return await this.loadAncestors(last.val, facts.requestId, signal);
  }

  private async loadAncestors(
    last: StoredTurn,
    request: RunnableRequest['facts']['requestId'],
    signal: AbortSignal,
  ): Promise<Result<TurnChain, ZincringError>> {
    const ancestors = await Promise.all(
      last.ancestors.map(async id => await this.rows.load(id, signal)),
    );
    const chain: StoredTurn[] = [];
    for (const ancestor of ancestors) {
      if (ancestor.err) {
        return ancestor;
      }
      if (ancestor.val === undefined) {
        return Err(this.refuseIncompleteChain(last, request));
      }
      chain.push(ancestor.val);
    }
    return Ok([...chain, last]);
  }

  /** Returns the refusal of a turn whose history is no longer stored: a final one once its retention is over. */
  private refuseIncompleteChain(
    { expiresAt, id, keptUntil = expiresAt }: StoredTurn,
    request: RunnableRequest['facts']['requestId'],
  ): ZincringError {
    const millisecondsLeft = keptUntil - this.dependencies.timers.wallClock();
    this.dependencies.logger.warn(
      { event: 'history-incomplete', millisecondsLeft, previousTurn: id, request },
      'an earlier turn of the chain is not stored',
    );
    return millisecondsLeft < 0
      ? new ZincringError('program-not-found', {
          detail: 'the chain of the turn is no longer kept',
        })
      : this.rows.createUnavailableError('an earlier turn of the chain is missing');
  }

  private createDraft(request: RunnableRequest, chain: TurnChain): TurnDraft | undefined {
    const id = request.facts.requestId;
    if (id === undefined) {
      return undefined;
    }
    const output = new BodyContent();
    let outputBytes = 0;
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
        const turn = { chain, id: id as string as TurnId, output: output.complete(), request };
        return await this.saveTurn(turn, signal);
      },
    };
  }

  /** Stores a turn once all rows that it names are sure to outlive its retention. */
  private async saveTurn(
    { chain, id, output, request }: EndedTurn,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { body, route, workspace } = request;
    const ancestors = await this.renewal.keep(request, chain, signal);
    if (ancestors === undefined) {
      return false;
    }
    const now = this.dependencies.timers.wallClock();
    const beganAt = findBeginning(chain) ?? now;
    const turn: StoredTurn = {
      ancestors,
      beganAt,
      expiresAt: computeExpiry(route, now, beganAt),
      id,
      input: body,
      keptUntil: now + computeKeptMilliseconds(route),
      output,
      workspace,
    };
    return await this.rows.store(turn, signal);
  }
}

/** A turn whose response is complete. */
interface EndedTurn {
  readonly id: TurnId;
  readonly request: RunnableRequest;
  /** Turns that the turn continues, oldest first. */
  readonly chain: TurnChain;
  readonly output: Buffer;
}

const LINE_FEED = Buffer.from('\n');
