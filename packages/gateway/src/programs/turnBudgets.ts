import type { Result } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { Err, Ok, ZincringError } from '@zincring/core';

import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { BudgetAccount, BudgetDemand } from './budgetRow.js';
import type { BudgetDecision, ProgramBudgetParts } from './programBudget.js';

import { readRow } from '../store/editRow.js';
import { PartitionSet } from '../store/partitionSet.js';
import { ProgramBudget } from './programBudget.js';

/** Tokens held for one turn. */
export interface BudgetReservation {
  /** Tells how many tokens the caller was handed; the rest is free again. */
  settle(tokens: number): void;
  /** Tokens that one event stands for. */
  readonly tokensPerEvent: number;
  /** Whether no turn of the program came before, at any instance. */
  readonly beginsProgram: boolean;
}

/** Table of the accounts. */
export const BUDGET_TABLE = 'budgets';
/** Partitions of the table: many, so that a program whose agents all write at once delays few others. */
export const budgetPartitions = new PartitionSet(BUDGET_TABLE, 256);
/** The accounts, for removal after their end. */
export const sweptBudgets: SweptTable = {
  expiresAt: row => (JSON.parse(row.value.toString()) as BudgetAccount).expiresAt,
  keysOf: row => [row.key],
  partitions: budgetPartitions.names,
  table: BUDGET_TABLE,
};
/** How long accounts outlive their last turn at least, in milliseconds: programs that were stopped may return. */
const MINIMUM_RETENTION_MILLISECONDS = 60_000;
/** Parts in the prompt of a program's first turn: what many programs share, and its own input. */
const PARTS_OF_FIRST_TURN = 2;
/** Pause between looks for programs that have no turns here any more, in milliseconds. */
const SWEEP_MILLISECONDS = 1_000;

/**
 * Keeps programs within their token budgets over all instances. A turn holds the most that it can
 * generate before it is sent, and settles for what it handed over.
 *
 * @example
 * const reservation = await budgets.reserve(request, signal);
 * reservation.val?.settle(253);
 */
export class TurnBudgets {
  private readonly programs = new Map<string, ProgramBudget>();
  private made = 0;

  public constructor(private readonly parts: ProgramBudgetParts) {
    parts.timers.every(SWEEP_MILLISECONDS, () => {
      this.sweep();
    });
  }

  /** Holds what a turn may generate; nothing is held for requests without a budget. */
  public async reserve(
    request: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<BudgetReservation | undefined, ZincringError>> {
    const { facts, route, service } = request;
    const budget = facts.tokenBudget;
    if (route.kind !== 'streaming' || budget === undefined || facts.programId === undefined) {
      return Ok(undefined);
    }
    const program = this.programOf(nameOf(request));
    const demand: BudgetDemand = { budget, most: facts.maximumOutputTokens ?? budget };
    const retention = Math.max(MINIMUM_RETENTION_MILLISECONDS, 2 * route.retentionMilliseconds);
    const decision = await program.reserve(
      demand,
      {
        expiresAt: this.parts.timers.wallClock() + retention,
        isLater: facts.promptParts.length > PARTS_OF_FIRST_TURN,
      },
      signal,
    );
    this.logDecision(request, demand, decision);
    const refusal = refusalOf(decision, this.parts.table.retryAfterSeconds);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    return Ok({
      beginsProgram: program.wasEmpty,
      settle: tokens => {
        program.settle(demand.most, tokens);
      },
      tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    });
  }

  /** Whether a request is a turn of a program that has had none at any instance. */
  public async beginsProgram(request: RunnableRequest): Promise<boolean> {
    const { facts, route } = request;
    if (route.kind !== 'streaming' || facts.programId === undefined) {
      return false;
    }
    const name = nameOf(request);
    if (this.programs.has(name)) {
      return false;
    }
    const read = await readRow(this.parts.table, addressOf(name));
    return read.ok && read.val.row.version === 0;
  }

  /** Gives back all that is held, before a planned end. */
  public async releaseAll(): Promise<void> {
    await Promise.all([...this.programs.values()].map(program => program.releaseNow()));
  }

  private programOf(name: string): ProgramBudget {
    const known = this.programs.get(name);
    if (known !== undefined) {
      return known;
    }
    const holder = `${this.parts.holder}.${String(this.made++)}`;
    const program = new ProgramBudget(addressOf(name), { ...this.parts, holder });
    this.programs.set(name, program);
    return program;
  }

  private sweep(): void {
    for (const [name, program] of this.programs) {
      if (program.isForgettable) {
        this.programs.delete(name);
      } else {
        program.releaseIfIdle();
      }
    }
  }

  private logDecision(
    request: RunnableRequest,
    { budget, most }: BudgetDemand,
    decision: BudgetDecision,
  ): void {
    const fields = { budget, event: `budget-${decision}`, most, request: request.facts.requestId };
    if (decision === 'held' || decision === 'held-ahead') {
      this.parts.logger.debug(fields, 'tokens are held for a turn');
      return;
    }
    this.parts.logger.warn(fields, 'no tokens are held for a turn');
  }
}

function refusalOf(decision: BudgetDecision, retryAfterSeconds: number): ZincringError | undefined {
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

function nameOf({ facts, workspace }: RunnableRequest): string {
  return `${workspace ?? ''}/${facts.programId ?? ''}`;
}

function addressOf(program: string): RowAddress {
  return { key: program, partition: budgetPartitions.of(program), table: BUDGET_TABLE };
}
