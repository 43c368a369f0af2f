import type { Logger, TimerService } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import type { EditedRow, KnownRow, RowEdit } from '../store/editRow.js';
import type { WatchedTable } from '../store/watchedTable.js';
import type { BudgetAccount, BudgetDemand, BudgetGrant } from './budgetRow.js';

import { absentRow, editRow, readRow } from '../store/editRow.js';
import { emptyAccount, grantTokens, releaseTokens } from './budgetRow.js';

/** What became of a turn's demand: tokens asked for, tokens held before, none left, or no answer. */
export type BudgetDecision = 'held' | 'held-ahead' | 'spent' | 'unknown';

/** What a {@link ProgramBudget} works with. */
export interface ProgramBudgetParts {
  readonly table: WatchedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
  /**
   * Names this object among all that ever hold tokens. One that is made anew for a program must not
   * take over a hold of before: it does not know what was handed over from it.
   */
  readonly holder: string;
}

/** What is known of a turn beside its tokens. */
export interface TurnFacts {
  /** When the account may be removed, by the wall clock, in milliseconds. */
  readonly expiresAt: number;
  /** Whether turns of the program came before, as far as its prompt tells. */
  readonly isLater: boolean;
}

interface WaitingTurn extends BudgetDemand {
  /** Whether turns of the program came before, as far as its prompt tells. */
  readonly isLater: boolean;
  /** Whether its request has ended meanwhile. */
  isAbandoned: boolean;
  decide(decision: BudgetDecision): void;
}

/** Longest wait of a turn for its tokens, in milliseconds: some answers of a slow store. */
const WAIT_MILLISECONDS = 1_200;
/** Tries of one write while the store fails. */
const MAXIMUM_FAILURES = 4;
/** Time without a turn after which held tokens go back, in milliseconds: longer than most pauses between turns. */
const IDLE_MILLISECONDS = 2_000;
/** Time without a turn after which a program is forgotten, in milliseconds. */
const FORGET_MILLISECONDS = 20_000;
/** Pause after a failed write that nobody waits for, in milliseconds. */
const RETRY_MILLISECONDS = 300;

/**
 * The part of one program's budget that this run of the instance holds. Its writes to the
 * program's row follow one another, so each knows what the one before it left.
 *
 * @example
 * const decision = await program.reserve({ budget: 1_725, most: 575 }, facts, signal);
 */
export class ProgramBudget {
  private row: KnownRow = absentRow;
  /** Tokens that may be handed out without asking. */
  private ahead = 0;
  /** Tokens that were ever taken from `ahead` for a turn, less those put back. */
  private taken = 0;
  private underWay = 0;
  /** Tokens of ended turns that are not yet in the row. */
  private ended = 0;
  private turnsUnderWay = 0;
  private turnsBegun = 0;
  private isFirstWriter = false;
  private waiting: WaitingTurn[] = [];
  private writes = 0;
  /** Writes that may be in the row although their answers were lost. */
  private readonly sent = new Map<number, SentWrite>();
  private isWriting = false;
  private isReleased = true;
  private isRelaxed = false;
  /** Whether little is left, so that other instances must soon learn what has ended here. */
  private isTight = false;
  private lastDemand: BudgetDemand = { budget: 0, most: 0 };
  private lastExpiry = 0;
  private usedAt: number;

  public constructor(
    private readonly address: RowAddress,
    private readonly parts: ProgramBudgetParts,
  ) {
    this.usedAt = parts.timers.now();
  }

  /** Whether the account was empty when this instance first wrote it, and one turn has begun since. */
  public get wasEmpty(): boolean {
    return this.isFirstWriter && this.turnsBegun === 1;
  }

  /** Whether nothing is lost when the program is forgotten here. */
  public get isForgettable(): boolean {
    return (
      (this.isReleased || this.isRelaxed) &&
      !this.isWriting &&
      this.turnsUnderWay + this.waiting.length === 0 &&
      this.idleMilliseconds() > FORGET_MILLISECONDS
    );
  }

  /** Holds the most that a turn may generate. */
  public async reserve(
    demand: BudgetDemand,
    { expiresAt, isLater }: TurnFacts,
    signal: AbortSignal,
  ): Promise<BudgetDecision> {
    this.lastDemand = demand;
    this.lastExpiry = expiresAt;
    this.usedAt = this.parts.timers.now();
    if (this.ahead >= demand.most) {
      this.ahead -= demand.most;
      this.taken += demand.most;
      this.begin(demand.most);
      return 'held-ahead';
    }
    if (this.parts.table.isAway) {
      return 'unknown';
    }
    return await new Promise(resolve => {
      const turn: WaitingTurn = { ...demand, decide: resolve, isAbandoned: false, isLater };
      const abandon = (): void => {
        turn.isAbandoned = true;
        this.waiting = this.waiting.filter(each => each !== turn);
        resolve('unknown');
      };
      this.waiting.push(turn);
      this.parts.timers.after(WAIT_MILLISECONDS, abandon);
      signal.addEventListener('abort', abandon, { once: true });
      this.write();
    });
  }

  /** Ends a turn: what it did not hand over may be used by the next one. */
  public settle(most: number, tokens: number): void {
    this.underWay -= most;
    this.turnsUnderWay--;
    this.ended += tokens;
    this.ahead += most - tokens;
    this.taken -= most - tokens;
    this.usedAt = this.parts.timers.now();
    if (this.isTight || this.ahead < most) {
      this.write();
    }
  }

  /** Gives back what is held, whatever the program may do next. */
  public async releaseNow(): Promise<void> {
    if (!this.isReleased && !this.isRelaxed && !this.isWriting) {
      this.isWriting = true;
      await this.release();
    }
  }

  /** Gives back what is held when the program has had no turn here for a while. */
  public releaseIfIdle(): void {
    const isBusy = this.turnsUnderWay + this.waiting.length > 0 || this.isWriting;
    const isDue = !this.isReleased && !this.isRelaxed;
    if (isDue && !isBusy && this.idleMilliseconds() > IDLE_MILLISECONDS) {
      this.isWriting = true;
      void this.release();
    }
  }

  private begin(most: number): void {
    this.underWay += most;
    this.turnsUnderWay++;
    this.turnsBegun++;
  }

  private idleMilliseconds(): number {
    return this.parts.timers.now() - this.usedAt;
  }

  private write(): void {
    if (this.isWriting) {
      return;
    }
    this.isWriting = true;
    void this.writeOnce().then(isWritten => {
      this.isWriting = false;
      if (this.waiting.length > 0 || (isWritten && this.ended > 0)) {
        this.write();
      } else if (!isWritten) {
        this.parts.timers.after(RETRY_MILLISECONDS, () => {
          this.write();
        });
      }
    });
  }

  /** Writes what has ended and asks for those who wait; tells whether the store took it. */
  private async writeOnce(): Promise<boolean> {
    const asked = this.waiting;
    this.waiting = [];
    const edited = await this.edit(asked, this.row, false);
    if (edited === undefined) {
      asked.forEach(turn => {
        turn.decide('unknown');
      });
      return false;
    }
    asked.forEach((turn, index) => {
      if (edited[index] === true) {
        this.begin(turn.most);
        turn.decide('held');
        if (turn.isAbandoned) {
          this.settle(turn.most, 0);
        }
        return;
      }
      turn.decide('spent');
    });
    return true;
  }

  private async edit(
    asked: readonly WaitingTurn[],
    known: KnownRow,
    isFresh: boolean,
  ): Promise<readonly boolean[] | undefined> {
    const isLikelyOld = this.row.version === 0 && asked.some(turn => turn.isLater);
    const edited = await this.editRow(known, row => this.propose(asked, row), isLikelyOld);
    if (edited === undefined) {
      return undefined;
    }
    const { grant, proposal } = edited.answer;
    if (grant.isGranted.includes(false) && !edited.isConfirmed && !isFresh) {
      const fresh = await readRow(this.parts.table, this.address);
      return fresh.err ? undefined : await this.edit(asked, fresh.val.row, true);
    }
    this.ended -= proposal.ended;
    this.ahead = grant.ahead - (this.taken - proposal.taken);
    this.isReleased = false;
    this.isRelaxed = grant.isRelaxed;
    this.isTight = grant.ahead === 0;
    this.sent.clear();
    return grant.isGranted;
  }

  private propose(asked: readonly WaitingTurn[], row: KnownRow): RowEdit<Proposal> {
    const account = parseAccount(row.value);
    const own = account.holds[this.parts.holder];
    if (this.turnsBegun === 0) {
      this.isFirstWriter = account.expiresAt === 0;
    }
    // A write whose answer was lost is in the row: its ended turns are counted there.
    const written = own === undefined ? 0 : (this.sent.get(own.write)?.ended ?? 0);
    const write = ++this.writes;
    const grant = grantTokens(account, {
      ended: this.ended - written,
      expiresAt: this.lastExpiry,
      holder: this.parts.holder,
      underWay: this.underWay,
      usual: this.lastDemand,
      waiting: asked,
      write,
    });
    const proposal = { ended: this.ended, taken: this.taken };
    const hold = grant.account.holds[this.parts.holder]?.tokens;
    if (!grant.isGranted.includes(true) && this.ended === written && hold === own?.tokens) {
      return { answer: { grant, proposal }, kind: 'leave' };
    }
    this.ahead = Math.min(this.ahead, grant.ahead);
    this.sent.set(write, proposal);
    return { answer: { grant, proposal }, kind: 'write', value: encodeAccount(grant.account) };
  }

  private async release(): Promise<void> {
    this.ahead = 0;
    const edited = await this.editRow(this.row, row => {
      const account = parseAccount(row.value);
      if (account.holds[this.parts.holder] === undefined) {
        return { answer: undefined, kind: 'leave' };
      }
      const value = encodeAccount(releaseTokens(account, this.parts.holder, this.ended));
      return { answer: undefined, kind: 'write', value };
    });
    this.isWriting = false;
    if (edited !== undefined) {
      this.ended = 0;
      this.isReleased = true;
      this.sent.clear();
    }
    if (this.waiting.length > 0) {
      this.write();
    }
  }

  private async editRow<Answer>(
    known: KnownRow,
    edit: (row: KnownRow) => RowEdit<Answer>,
    readsFirst = false,
  ): Promise<EditedRow<Answer> | undefined> {
    const { random, table, timers } = this.parts;
    const edited = await editRow(table, timers, this.address, known, edit, {
      maximumFailures: MAXIMUM_FAILURES,
      random,
      readsFirst,
      signal: new AbortController().signal,
    });
    if (edited.ok) {
      this.row = edited.val.row;
      return edited.val;
    }
    this.parts.logger.warn(
      { event: 'budget-write-failed', failure: edited.val.message, program: this.address.key },
      'the account of a program could not be written',
    );
    return undefined;
  }
}

/** What one write told the store. */
interface SentWrite {
  readonly ended: number;
  /** {@link ProgramBudget} has taken this much from what was held ahead. */
  readonly taken: number;
}

interface Proposal {
  readonly grant: BudgetGrant;
  readonly proposal: SentWrite;
}

function parseAccount(value: Buffer | undefined): BudgetAccount {
  return value === undefined ? emptyAccount : (JSON.parse(value.toString()) as BudgetAccount);
}

function encodeAccount(account: BudgetAccount): Buffer {
  return Buffer.from(JSON.stringify(account));
}
