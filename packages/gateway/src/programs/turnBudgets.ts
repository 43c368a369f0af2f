import type { Result } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { Err, Ok, ZincringError } from '@zincring/core';

import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { BudgetAccount, BudgetDemand } from './budgetRow.js';
import type { BudgetDecision, ProgramBudgetDependencies } from './programBudget.js';

import { readRow } from '../store/editRow.js';
import { PartitionSet } from '../store/partitionSet.js';
import { ProgramBudget } from './programBudget.js';

/** Tokens reserved for one turn. */
export interface BudgetReservation {
  /** Ends the reservation with the number of tokens delivered to the caller; the remainder is released. */
  settle(deliveredTokens: number): void;
  /** Number of tokens that one event of the stream represents. */
  readonly tokensPerEvent: number;
  /** Whether this is the first turn of the program at any instance. */
  readonly startsProgram: boolean;
}

/** Table of the token accounts. */
export const BUDGET_TABLE = 'budgets';
/** Partitions of the table: many, so that a program with many concurrent writes delays few other programs. */
export const budgetPartitions = new PartitionSet(BUDGET_TABLE, 256);
/** Description of the accounts for the removal of expired rows. */
export const sweptBudgets: SweptTable = {
  expiresAt: row => (JSON.parse(row.value.toString()) as BudgetAccount).expiresAt,
  keysOf: row => [row.key],
  partitions: budgetPartitions.names,
  table: BUDGET_TABLE,
};
/** Minimum retention of an account after its last turn, in milliseconds: a stopped program may continue. */
const MINIMUM_RETENTION_MILLISECONDS = 60_000;
/** Parts in the prompt of a program's first turn: a prefix shared by many programs, and the program's own input. */
const PROMPT_PARTS_OF_FIRST_TURN = 2;
/** Interval at which reservations of idle programs are released, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 1_000;

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
  private readonly programs = new Map<string, ProgramBudget>();
  private createdBudgets = 0;

  public constructor(private readonly dependencies: ProgramBudgetDependencies) {
    dependencies.timers.every(SWEEP_INTERVAL_MILLISECONDS, () => {
      this.sweep();
    });
  }

  /** Reserves the maximum number of tokens of a turn; nothing is reserved for requests without a budget. */
  public async reserve(
    request: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<BudgetReservation | undefined, ZincringError>> {
    const { facts, route, service } = request;
    const budget = facts.tokenBudget;
    if (route.kind !== 'streaming' || budget === undefined || facts.programId === undefined) {
      return Ok(undefined);
    }
    const program = this.findOrAddProgram(makeProgramKey(request));
    const demand: BudgetDemand = { budget, maximumTokens: facts.maximumOutputTokens ?? budget };
    const retentionMilliseconds = Math.max(
      MINIMUM_RETENTION_MILLISECONDS,
      2 * route.retentionMilliseconds,
    );
    const decision = await program.reserve(
      demand,
      {
        expiresAt: this.dependencies.timers.wallClock() + retentionMilliseconds,
        hasEarlierTurns: facts.promptParts.length > PROMPT_PARTS_OF_FIRST_TURN,
      },
      signal,
    );
    this.logDecision(request, demand, decision);
    const refusal = createRefusal(decision, this.dependencies.table.retryAfterSeconds);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    return Ok({
      startsProgram: program.hasOnlyFirstTurn,
      settle: deliveredTokens => {
        program.settle(demand.maximumTokens, deliveredTokens);
      },
      tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    });
  }

  /** Whether a request is the first turn of its program at any instance. */
  public async startsProgram(request: RunnableRequest): Promise<boolean> {
    const { facts, route } = request;
    if (route.kind !== 'streaming' || facts.programId === undefined) {
      return false;
    }
    const programKey = makeProgramKey(request);
    if (this.programs.has(programKey)) {
      return false;
    }
    const read = await readRow(this.dependencies.table, makeAddress(programKey));
    return read.ok && read.val.row.version === 0;
  }

  /** Releases all reservations before a planned shutdown. */
  public async releaseAll(): Promise<void> {
    await Promise.all([...this.programs.values()].map(program => program.releaseNow()));
  }

  private findOrAddProgram(programKey: string): ProgramBudget {
    const known = this.programs.get(programKey);
    if (known !== undefined) {
      return known;
    }
    const holder = `${this.dependencies.holder}.${String(this.createdBudgets++)}`;
    const program = new ProgramBudget(makeAddress(programKey), { ...this.dependencies, holder });
    this.programs.set(programKey, program);
    return program;
  }

  private sweep(): void {
    for (const [programKey, program] of this.programs) {
      if (program.isDiscardable) {
        this.programs.delete(programKey);
      } else {
        program.releaseIfIdle();
      }
    }
  }

  private logDecision(
    request: RunnableRequest,
    { budget, maximumTokens }: BudgetDemand,
    decision: BudgetDecision,
  ): void {
    const fields = {
      budget,
      event: `budget-${decision}`,
      most: maximumTokens,
      request: request.facts.requestId,
    };
    if (decision === 'held' || decision === 'held-ahead') {
      this.dependencies.logger.debug(fields, 'reserved the tokens of a turn');
      return;
    }
    this.dependencies.logger.warn(fields, 'could not reserve the tokens of a turn');
  }
}

function createRefusal(
  decision: BudgetDecision,
  retryAfterSeconds: number,
): ZincringError | undefined {
  switch (decision) {
    case 'held':
    case 'held-ahead':
      return undefined;
    case 'spent':
      return new ZincringError('budget-exhausted');
    case 'unknown':
      return new ZincringError('store-unavailable', {
        detail: 'the budget of the program is not known',
        retryAfterSeconds,
      });
  }
}

function makeProgramKey({ facts, workspace }: RunnableRequest): string {
  return `${workspace ?? ''}/${facts.programId ?? ''}`;
}

function makeAddress(programKey: string): RowAddress {
  return { key: programKey, partition: budgetPartitions.of(programKey), table: BUDGET_TABLE };
}
