import type { RowAddress } from '@zincring/platform';

import type { SweptTable } from '../store/rowSweeper.js';
import type { BudgetAccount } from './budgetRow.js';
import type { ProgramBudgetDependencies } from './programBudget.js';
import type { TokenAccounts, TokenDecision, TurnDemand } from './tokenAccounts.js';

import { PartitionSet } from '../store/partitionSet.js';
import { ProgramBudget } from './programBudget.js';

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
/** Interval at which reservations of idle programs are released, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 1_000;

/**
 * Token accounts of programs in the store, and what this instance has reserved in them.
 *
 * @example
 * const decision = await accounts.reserve(demand, signal);
 */
export class StoreTokenAccounts implements TokenAccounts {
  private readonly programs = new Map<string, ProgramBudget>();
  private createdBudgets = 0;
  private reservesAhead = true;

  public constructor(private readonly dependencies: ProgramBudgetDependencies) {
    dependencies.timers.every(SWEEP_INTERVAL_MILLISECONDS, () => {
      this.sweep();
    });
  }

  public async reserve(demand: TurnDemand, signal: AbortSignal): Promise<TokenDecision> {
    const program = this.findOrAddProgram(demand.program);
    const decision = await program.reserve(demand, demand, signal);
    switch (decision) {
      case 'held':
      case 'held-ahead':
        return {
          kind: 'held',
          settle: deliveredTokens => {
            program.settle(demand.maximumTokens, deliveredTokens);
          },
          startsProgram: program.hasOnlyFirstTurn,
        };
      case 'spent':
      case 'unknown':
        return { kind: decision };
    }
  }

  /** Reserves no more tokens in advance and releases those that no turn uses, for the next owners of the programs. */
  public stopReservingAhead(): void {
    this.reservesAhead = false;
    for (const program of this.programs.values()) {
      program.stopReservingAhead();
    }
  }

  /** Releases all reservations before a planned shutdown, but for turns that still run at other instances. */
  public async releaseAll(): Promise<void> {
    await Promise.all([...this.programs.values()].map(program => program.releaseNow()));
  }

  private findOrAddProgram(programKey: string): ProgramBudget {
    const known = this.programs.get(programKey);
    if (known !== undefined) {
      return known;
    }
    const holder = `${this.dependencies.holder}.${String(this.createdBudgets++)}`;
    const program = new ProgramBudget(makeBudgetAddress(programKey), {
      ...this.dependencies,
      holder,
    });
    if (!this.reservesAhead) {
      program.stopReservingAhead();
    }
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
}

/**
 * Returns the address of the account of a program.
 *
 * @example
 * makeBudgetAddress('clerks/program-7').partition; // 'budgets-93'
 */
export function makeBudgetAddress(programKey: string): RowAddress {
  return { key: programKey, partition: budgetPartitions.of(programKey), table: BUDGET_TABLE };
}
