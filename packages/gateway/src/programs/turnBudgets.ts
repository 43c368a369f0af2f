import type { Logger, Result, TimerService } from '@zincring/core';

import { Err, Ok, ZincringError } from '@zincring/core';

import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { TokenAccounts, TokenDecision, TurnDemand } from './tokenAccounts.js';

import { readRow } from '../store/editRow.js';
import { makeBudgetAddress } from './storeTokenAccounts.js';
import { computeKeptMilliseconds } from './turnRetention.js';

/** Tokens reserved for one turn. */
export interface BudgetReservation {
  /** Ends the reservation with the number of tokens delivered to the caller; the remainder is released. */
  settle(deliveredTokens: number): void;
  /** Number of tokens that one event of the stream represents. */
  readonly tokensPerEvent: number;
  /** Whether this is the first turn of the program at any instance. */
  readonly startsProgram: boolean;
}

/** Dependencies of a {@link TurnBudgets}. */
export interface TurnBudgetsDependencies {
  readonly accounts: TokenAccounts;
  readonly table: MonitoredTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Identifies this run of the instance. */
  readonly holder: string;
}

/** Minimum retention of an account after its last turn, in milliseconds: a stopped program may continue. */
const MINIMUM_RETENTION_MILLISECONDS = 60_000;
/** Lifetime of the row of an account, as a multiple of the time for which it must be kept after a turn. */
const LIFETIME_FACTOR = 2;
/** Parts in the prompt of a program's first turn: a prefix shared by many programs, and the program's own input. */
const PROMPT_PARTS_OF_FIRST_TURN = 2;

/**
 * Enforces the token budgets of programs across all instances. Before a turn is sent, the maximum
 * number of tokens that it can generate is reserved; when it ends, only the delivered tokens are
 * counted.
 *
 * @example
 * const reservation = await budgets.reserve(request, signal);
 * reservation.val?.settle(253);
 */
export class TurnBudgets {
  private createdReservations = 0;

  public constructor(private readonly dependencies: TurnBudgetsDependencies) {}

  /** Reserves the maximum number of tokens of a turn; nothing is reserved for requests without a budget. */
  public async reserve(
    request: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<BudgetReservation | undefined, ZincringError>> {
    const demand = this.toDemand(request);
    if (demand === undefined) {
      return Ok(undefined);
    }
    const decision = await this.dependencies.accounts.reserve(demand, signal);
    this.logDecision(request, demand, decision);
    switch (decision.kind) {
      case 'held':
        return Ok({
          settle: decision.settle,
          startsProgram: decision.startsProgram,
          tokensPerEvent: request.service.engine?.tokensPerEvent ?? 1,
        });
      case 'spent':
        return Err(new ZincringError('budget-exhausted'));
      case 'unknown':
        return Err(
          new ZincringError('store-unavailable', {
            detail: 'the budget of the program is not known',
            retryAfterSeconds: this.dependencies.table.retryAfterSeconds,
          }),
        );
    }
  }

  /** Whether a request is the first turn of its program at any instance. */
  public async startsProgram(request: RunnableRequest): Promise<boolean> {
    const { facts, route } = request;
    if (route.kind !== 'streaming' || facts.programId === undefined || hasEarlierTurns(request)) {
      return false;
    }
    const read = await readRow(this.dependencies.table, makeBudgetAddress(makeProgramKey(request)));
    return read.ok && read.val.row.version === 0;
  }

  private toDemand(request: RunnableRequest): TurnDemand | undefined {
    const { facts, route } = request;
    const budget = facts.tokenBudget;
    if (route.kind !== 'streaming' || budget === undefined || facts.programId === undefined) {
      return undefined;
    }
    const keptMilliseconds = computeKeptMilliseconds({
      ...route,
      retentionMilliseconds: Math.max(MINIMUM_RETENTION_MILLISECONDS, route.retentionMilliseconds),
    });
    return {
      budget,
      expiresAt: this.dependencies.timers.wallClock() + LIFETIME_FACTOR * keptMilliseconds,
      hasEarlierTurns: hasEarlierTurns(request),
      maximumTokens: facts.maximumOutputTokens ?? budget,
      program: makeProgramKey(request),
      reservation: `${this.dependencies.holder}.${String(this.createdReservations++)}`,
    };
  }

  private logDecision(
    { facts }: RunnableRequest,
    { budget, maximumTokens }: TurnDemand,
    { kind }: TokenDecision,
  ): void {
    const fields = {
      budget,
      event: `budget-${kind}`,
      most: maximumTokens,
      request: facts.requestId,
    };
    if (kind === 'held') {
      this.dependencies.logger.debug(fields, 'reserved the tokens of a turn');
      return;
    }
    this.dependencies.logger.warn(fields, 'could not reserve the tokens of a turn');
  }
}

function hasEarlierTurns({ facts }: RunnableRequest): boolean {
  return facts.promptParts.length > PROMPT_PARTS_OF_FIRST_TURN;
}

function makeProgramKey({ facts, workspace }: RunnableRequest): string {
  return `${workspace ?? ''}/${facts.programId ?? ''}`;
}
