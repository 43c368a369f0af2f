import type { Brand, Logger, Result, TimerService } from '@zincring/core';
import type { PartitionedTable, RowAddress } from '@zincring/platform';

import { Err, hash32, Ok, ZincringError } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { KnownRow, RowEdit } from '../store/editRow.js';

import { absentRow, editRow } from '../store/editRow.js';

/** Identifier of one reservation: the request that it was made for. */
type ReservationId = Brand<string, 'ReservationId'>;

/** Tokens held for one turn. */
export interface BudgetReservation {
  /** Tells how many tokens the caller was handed; the rest is free again. */
  settle(tokens: number): void;
  /** Tokens that one event stands for. */
  readonly tokensPerEvent: number;
}

/** What the store keeps of a program. */
interface ProgramAccount {
  /** Tokens handed over by turns that have ended. */
  readonly spent: number;
  /** The most that each turn under way may hand over. */
  readonly held: Readonly<Record<string, number>>;
  /** When the row may be removed, by the wall clock, in milliseconds. */
  readonly expiresAt: number;
}

interface Settlement {
  readonly id: ReservationId;
  readonly tokens: number;
}

/** What a {@link TurnBudgets} works with. */
export interface TurnBudgetParts {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
}

/** Table of the accounts. */
export const BUDGET_TABLE = 'budgets';
/** Partitions of the table: their transactions run one after another, and a program needs two a turn. */
const PARTITIONS = 32;
/** Programs whose account is remembered: several minutes of an instance's share. */
const REMEMBERED_PROGRAMS = 10_000;
/** How long the end of a turn may wait to be written together with the next turn when the budget is nearly spent, in milliseconds: within the time that callers allow for it. */
const SETTLE_MILLISECONDS = 450;
/** The same while the budget leaves room for {@link AMPLE_TURNS} more turns, in milliseconds. */
const AMPLE_SETTLE_MILLISECONDS = 4_000;
/** Turns for which a budget has room when it counts as ample: more than a program starts within the longer wait. */
const AMPLE_TURNS = 6;
/** Tries of one reservation while the store fails. */
const MAXIMUM_FAILURES = 4;
/** How long accounts outlive their last turn at least, in milliseconds: programs that were stopped may return. */
const MINIMUM_RETENTION_MILLISECONDS = 60_000;
/** When a caller may come back while the store is away, in seconds. */
const STORE_RETRY_SECONDS = 0.4;

/**
 * Keeps programs within their token budgets over all instances. A turn holds the most that it can
 * generate before it is sent, and settles for what it handed over; the account of a program is
 * one row, changed under a condition.
 *
 * @example
 * const reservation = await budgets.reserve(request, signal);
 * reservation.val?.settle(253);
 */
export class TurnBudgets {
  private readonly accounts = new LRUCache<string, KnownRow>({ max: REMEMBERED_PROGRAMS });
  /** Ends of turns that are not yet written, by program. */
  private readonly settlements = new Map<string, Settlement[]>();
  /** Programs whose ends of turns are being written. */
  private readonly flushing = new Set<string>();

  public constructor(private readonly parts: TurnBudgetParts) {}

  /** Holds what a turn may generate; nothing is held for requests without a budget. */
  public async reserve(
    request: RunnableRequest,
    signal: AbortSignal,
  ): Promise<Result<BudgetReservation | undefined, ZincringError>> {
    const { facts, route, service } = request;
    if (route.kind !== 'streaming' || facts.tokenBudget === undefined || facts.programId === undefined) {
      return Ok(undefined);
    }
    const program = `${request.workspace ?? ''}/${facts.programId}`;
    const id = (facts.requestId ?? '') as string as ReservationId;
    const most = facts.maximumOutputTokens ?? facts.tokenBudget;
    const expiresAt =
      this.parts.timers.wallClock() +
      Math.max(MINIMUM_RETENTION_MILLISECONDS, 2 * route.retentionMilliseconds);
    const budget = facts.tokenBudget;
    let isAmple = false;
    const reserved = await this.write(program, signal, account => {
      isAmple = committedTokens(account) + AMPLE_TURNS * most <= budget;
      return reserveIn(account, id, most, budget, expiresAt);
    });
    if (reserved.err) {
      if (reserved.val.kind === 'store-unavailable') {
        this.settle(program, { id, tokens: 0 }, isAmple);
      }
      return reserved;
    }
    this.parts.logger.debug(
      { event: 'budget-reserved', most, program, request: id },
      'tokens are held for a turn',
    );
    return Ok({
      settle: tokens => {
        this.settle(program, { id, tokens }, isAmple);
      },
      tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    });
  }

  private async write(
    program: string,
    signal: AbortSignal,
    reserve: (account: ProgramAccount) => ProgramAccount | 'spent',
  ): Promise<Result<void, ZincringError>> {
    const cached = this.accounts.get(program);
    const first = await this.edit(program, cached ?? absentRow, signal, reserve);
    if (first.err || first.val.answer === 'reserved') {
      return first.err ? first : Ok.EMPTY;
    }
    const last =
      first.val.isConfirmed || cached === undefined
        ? first
        : await this.edit(program, await this.readAccount(program), signal, reserve);
    if (last.err) {
      return last;
    }
    return last.val.answer === 'reserved' ? Ok.EMPTY : Err(new ZincringError('budget-exhausted'));
  }

  private async edit(
    program: string,
    known: KnownRow,
    signal: AbortSignal,
    reserve: (account: ProgramAccount) => ProgramAccount | 'spent',
  ): Promise<
    Result<{ readonly answer: 'reserved' | 'spent'; readonly isConfirmed: boolean }, ZincringError>
  > {
    let taken: readonly Settlement[] = [];
    const edited = await editRow<'reserved' | 'spent'>(
      this.parts.table,
      this.parts.timers,
      addressOf(program),
      known,
      row => {
        taken = [...(this.settlements.get(program) ?? [])];
        const account = reserve(applySettlements(parseAccount(row.value), taken));
        return account === 'spent' ? { answer: 'spent', kind: 'leave' } : writeOf(account);
      },
      { maximumFailures: MAXIMUM_FAILURES, random: this.parts.random, signal },
    );
    if (edited.err) {
      this.accounts.delete(program);
      return Err(
        new ZincringError('store-unavailable', {
          detail: edited.val.message,
          retryAfterSeconds: STORE_RETRY_SECONDS,
        }),
      );
    }
    this.accounts.set(program, edited.val.row);
    if (edited.val.answer === 'reserved') {
      this.forget(program, taken);
    }
    return Ok({ answer: edited.val.answer, isConfirmed: edited.val.isConfirmed });
  }

  private async readAccount(program: string): Promise<KnownRow> {
    const address = addressOf(program);
    const page = await this.parts.table.read({ ...address, from: address.key, limit: 1 });
    const row = page.ok ? page.val.rows.find(({ key }) => key === address.key) : undefined;
    return row ?? absentRow;
  }

  private settle(program: string, settlement: Settlement, isAmple: boolean): void {
    const waiting = this.settlements.get(program);
    if (waiting === undefined) {
      this.settlements.set(program, [settlement]);
    } else {
      waiting.push(settlement);
    }
    const pause = isAmple ? AMPLE_SETTLE_MILLISECONDS : SETTLE_MILLISECONDS;
    this.parts.timers.after(pause, () => void this.flush(program));
  }

  /** Writes the ends of turns that no later turn has taken along. */
  private async flush(program: string): Promise<void> {
    if ((this.settlements.get(program) ?? []).length === 0 || this.flushing.has(program)) {
      return;
    }
    this.flushing.add(program);
    const known = this.accounts.get(program) ?? absentRow;
    const written = await this.edit(program, known, new AbortController().signal, account => account);
    this.flushing.delete(program);
    if (written.err) {
      this.parts.logger.warn(
        { event: 'settlement-delayed', failure: written.val.message, program },
        'the end of a turn is not yet written',
      );
      this.parts.timers.after(SETTLE_MILLISECONDS, () => void this.flush(program));
    }
  }

  private forget(program: string, written: readonly Settlement[]): void {
    const waiting = this.settlements.get(program);
    if (waiting !== undefined && written.length > 0) {
      const left = waiting.filter(settlement => !written.includes(settlement));
      if (left.length > 0) {
        this.settlements.set(program, left);
      } else {
        this.settlements.delete(program);
      }
    }
  }
}

function addressOf(program: string): RowAddress {
  return { key: program, partition: String(hash32(program) % PARTITIONS), table: BUDGET_TABLE };
}

function parseAccount(value: Buffer | undefined): ProgramAccount {
  return value === undefined
    ? { expiresAt: 0, held: {}, spent: 0 }
    : (JSON.parse(value.toString()) as ProgramAccount);
}

function writeOf(account: ProgramAccount): RowEdit<'reserved'> {
  return { answer: 'reserved', kind: 'write', value: Buffer.from(JSON.stringify(account)) };
}

function applySettlements(
  account: ProgramAccount,
  settlements: readonly Settlement[],
): ProgramAccount {
  const held = { ...account.held };
  let spent = account.spent;
  for (const { id, tokens } of settlements) {
    if (held[id] !== undefined) {
      spent += tokens;
      // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
      delete held[id];
    }
  }
  return { ...account, held, spent };
}

function reserveIn(
  account: ProgramAccount,
  id: ReservationId,
  most: number,
  budget: number,
  expiresAt: number,
): ProgramAccount | 'spent' {
  const { [id]: ownHold = 0 } = account.held;
  if (committedTokens(account) - ownHold + most > budget) {
    return 'spent';
  }
  return {
    expiresAt: Math.max(account.expiresAt, expiresAt),
    held: { ...account.held, [id]: most },
    spent: account.spent,
  };
}

/** Tokens handed over, and the most that turns under way may add. */
function committedTokens(account: ProgramAccount): number {
  return Object.values(account.held).reduce((sum, tokens) => sum + tokens, account.spent);
}
