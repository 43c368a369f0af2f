import type { Logger, TimerService } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { sleep } from '@zincring/core';

import type { EditedRow, EditOptions, KnownRow, RowEdit } from '../store/editRow.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { BudgetAccount, BudgetDemand, BudgetGrant } from './budgetRow.js';

import { computeBackoffMilliseconds } from '../store/backoff.js';
import { absentRow, editRow, readRow } from '../store/editRow.js';
import { decodeAccount, encodeAccount } from './budgetAccountCodec.js';
import { emptyAccount, grantTokens, releaseTokens } from './budgetRow.js';

/**
 * Decision on the token demand of a turn: granted by the store, granted from tokens reserved in
 * advance, refused because the budget is spent, or unknown because the store did not answer.
 */
export type BudgetDecision = 'held' | 'held-ahead' | 'spent' | 'unknown';

/** Dependencies of a {@link ProgramBudget}. */
export interface ProgramBudgetDependencies {
  readonly table: MonitoredTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly random: () => number;
  /**
   * Name of this object, unique among all holders that ever existed. A new object for the same
   * program must not reuse an earlier reservation: it does not know how many of its tokens were
   * delivered.
   */
  readonly holder: string;
}

/** Further facts about a turn that requests tokens. */
export interface TurnFacts {
  /** Earliest time at which the account may be removed, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
  /** Whether the program has had earlier turns, as far as the prompt shows. */
  readonly hasEarlierTurns: boolean;
}

interface WaitingTurn extends BudgetDemand {
  /** Whether the program has had earlier turns, as far as the prompt shows. */
  readonly hasEarlierTurns: boolean;
  /** Whether the wait timed out or the request was aborted. */
  isAbandoned: boolean;
  decide(decision: BudgetDecision): void;
}

/** Share of its lifetime that the row of the account must have left when a turn is decided without the store. */
const MINIMUM_LIFETIME_SHARE = 1 / 2;
/** Share of its lifetime below which the row is written again, while turns are still decided without the store. */
const RENEWAL_LIFETIME_SHARE = 3 / 4;
/** Maximum wait of a turn for its tokens, in milliseconds: a few response times of a slow store. */
const MAXIMUM_WAIT_MILLISECONDS = 1_200;
/** Number of store failures up to which a write is retried while turns wait for it. */
const MAXIMUM_FAILURES = 4;
/** Time without a turn after which reserved tokens are released, in milliseconds: longer than most pauses between turns. */
const RELEASE_AFTER_IDLE_MILLISECONDS = 2_000;
/** Time without a turn after which a program is dormant, in milliseconds. */
const DORMANT_AFTER_IDLE_MILLISECONDS = 20_000;
/** Interval at which a release checks whether the write in progress has ended, in milliseconds. */
const WRITE_CHECK_MILLISECONDS = 10;
/** First and longest pause before a failed write is retried, in milliseconds; no turn waits for the retry. */
const RETRY_PAUSES = { initialMilliseconds: 300, maximumMilliseconds: 5_000 };

/**
 * This instance's reservation in the token budget of one program. Writes to the program's row are
 * serialized, so that each write starts from the result of the previous one.
 *
 * @example
 * const decision = await program.reserve({ budget: 1_725, maximumTokens: 575 }, facts, signal);
 */
export class ProgramBudget {
  private row: KnownRow = absentRow;
  /** Tokens reserved in advance that are granted without a call to the store. */
  private advanceTokens = 0;
  /** Total of the tokens granted from `advanceTokens`, less those returned by ended turns. */
  private usedAdvanceTokens = 0;
  /** Maximum number of tokens that the turns in flight may deliver. */
  private inFlightTokens = 0;
  /** Tokens delivered by ended turns that are not yet in the row. */
  private settledTokens = 0;
  private turnsInFlight = 0;
  /** Turns that are in flight here or have delivered something. */
  private startedTurns = 0;
  private isFirstWriter = false;
  private waitingTurns: WaitingTurn[] = [];
  private lastWriteNumber = 0;
  /** Writes since the last confirmed one, by number: the row may contain them although their answers were lost. */
  private readonly unconfirmedWrites = new Map<number, SentWrite>();
  private isWriting = false;
  private consecutiveFailures = 0;
  private isReleased = true;
  private mayKeepUnused = false;
  /** Whether little of the budget is left, so that each ended turn must be written soon for the other instances. */
  private isBudgetLow = false;
  private lastDemand: BudgetDemand = { budget: 0, maximumTokens: 0 };
  private lastExpiresAt = 0;
  /** Lifetime of the row from the last turn on, in milliseconds. */
  private lastLifetimeMilliseconds = 0;
  /** Expiry that the row is known to state, on the wall clock, in milliseconds. */
  private rowExpiresAt = 0;
  private isStopping = false;
  private lastUsedAt: number;

  public constructor(
    private readonly address: RowAddress,
    private readonly dependencies: ProgramBudgetDependencies,
  ) {
    this.lastUsedAt = dependencies.timers.now();
  }

  /**
   * Whether nothing was spent or reserved when this instance first wrote the account, and all turns here but
   * one that is in flight ended without delivering anything.
   */
  public get hasOnlyFirstTurn(): boolean {
    return this.isFirstWriter && this.startedTurns === 1;
  }

  /** Whether the program has had no turn here for some time and holds nothing that others may need soon. */
  public get isDormant(): boolean {
    return (
      (this.isReleased || this.mayKeepUnused) &&
      !this.isWriting &&
      this.turnsInFlight + this.waitingTurns.length === 0 &&
      this.idleMilliseconds() > DORMANT_AFTER_IDLE_MILLISECONDS
    );
  }

  /**
   * Whether the object can be discarded without losing spent tokens, or reserved ones that later turns of the
   * program could use.
   */
  public get isDiscardable(): boolean {
    const isRowExpired = this.dependencies.timers.wallClock() >= this.rowExpiresAt;
    return this.isDormant && (this.isReleased || isRowExpired);
  }

  /** Reserves the maximum number of tokens that a turn may generate. */
  public async reserve(
    demand: BudgetDemand,
    { expiresAt, hasEarlierTurns }: TurnFacts,
    signal: AbortSignal,
  ): Promise<BudgetDecision> {
    this.lastDemand = demand;
    this.lastExpiresAt = expiresAt;
    this.lastLifetimeMilliseconds = expiresAt - this.dependencies.timers.wallClock();
    this.lastUsedAt = this.dependencies.timers.now();
    if (
      this.advanceTokens >= demand.maximumTokens &&
      this.hasLeft(MINIMUM_LIFETIME_SHARE, this.rowExpiresAt)
    ) {
      this.reserveFromAdvance(demand.maximumTokens);
      return 'held-ahead';
    }
    if (this.dependencies.table.isUnavailable) {
      return 'unknown';
    }
    return await new Promise(resolve => {
      const turn: WaitingTurn = { ...demand, decide: resolve, isAbandoned: false, hasEarlierTurns };
      const abandon = (): void => {
        turn.isAbandoned = true;
        this.waitingTurns = this.waitingTurns.filter(each => each !== turn);
        resolve('unknown');
      };
      this.waitingTurns.push(turn);
      this.dependencies.timers.after(MAXIMUM_WAIT_MILLISECONDS, abandon);
      signal.addEventListener('abort', abandon, { once: true });
      this.startWriting();
    });
  }

  /** Ends a turn; the tokens that it reserved but did not deliver become available to later turns. */
  public settle(maximumTokens: number, deliveredTokens: number): void {
    this.inFlightTokens -= maximumTokens;
    this.turnsInFlight--;
    if (deliveredTokens === 0) {
      this.startedTurns--;
    }
    this.settledTokens += deliveredTokens;
    this.advanceTokens += maximumTokens - deliveredTokens;
    this.usedAdvanceTokens -= maximumTokens - deliveredTokens;
    this.lastUsedAt = this.dependencies.timers.now();
    if (this.isBudgetLow) {
      this.startWriting();
    }
  }

  /** Reserves no more tokens in advance and releases those that no turn uses. */
  public stopReservingAhead(): void {
    this.isStopping = true;
    if (this.advanceTokens > 0 && !this.isDormant) {
      this.startWriting();
    }
  }

  /** Releases what no turn in flight uses; such turns run at other instances and may still deliver tokens. */
  public async releaseNow(): Promise<void> {
    while (this.isWriting) {
      await sleep(this.dependencies.timers, WRITE_CHECK_MILLISECONDS);
    }
    if (this.isReleased || this.isDormant) {
      return;
    }
    this.isWriting = true;
    this.isStopping = true;
    if (this.turnsInFlight === 0) {
      await this.release();
      return;
    }
    await this.requestTokens([], this.row, false);
    this.isWriting = false;
  }

  /** Releases the reservation if the program has had no turn here for {@link RELEASE_AFTER_IDLE_MILLISECONDS}. */
  public releaseIfIdle(): void {
    const isBusy = this.turnsInFlight + this.waitingTurns.length > 0 || this.isWriting;
    const isDue = !this.isReleased && !this.mayKeepUnused;
    if (isDue && !isBusy && this.idleMilliseconds() > RELEASE_AFTER_IDLE_MILLISECONDS) {
      this.isWriting = true;
      void this.release();
    }
  }

  private reserveFromAdvance(maximumTokens: number): void {
    this.advanceTokens -= maximumTokens;
    this.usedAdvanceTokens += maximumTokens;
    this.startTurn(maximumTokens);
    if (!this.hasLeft(RENEWAL_LIFETIME_SHARE, this.rowExpiresAt)) {
      this.startWriting();
    }
  }

  /** Whether a row with an expiry has at least a share of its lifetime left. */
  private hasLeft(share: number, expiresAt: number): boolean {
    const millisecondsLeft = expiresAt - this.dependencies.timers.wallClock();
    return millisecondsLeft >= share * this.lastLifetimeMilliseconds;
  }

  private startTurn(maximumTokens: number): void {
    this.inFlightTokens += maximumTokens;
    this.turnsInFlight++;
    this.startedTurns++;
  }

  private idleMilliseconds(): number {
    return this.dependencies.timers.now() - this.lastUsedAt;
  }

  private startWriting(): void {
    if (this.isWriting) {
      return;
    }
    this.isWriting = true;
    void this.writeOnce().then(isWritten => {
      this.isWriting = false;
      this.consecutiveFailures = isWritten ? 0 : this.consecutiveFailures + 1;
      if (this.waitingTurns.length > 0 || (isWritten && this.settledTokens > 0)) {
        this.startWriting();
      } else if (!isWritten) {
        this.scheduleRetry();
      }
    });
  }

  private scheduleRetry(): void {
    const { random, timers } = this.dependencies;
    const pauseMilliseconds = computeBackoffMilliseconds(this.consecutiveFailures, {
      ...RETRY_PAUSES,
      random,
    });
    timers.after(pauseMilliseconds, () => {
      this.startWriting();
    });
  }

  /** Writes the settled tokens and requests tokens for the waiting turns; returns whether the store answered. */
  private async writeOnce(): Promise<boolean> {
    const requestingTurns = this.waitingTurns;
    this.waitingTurns = [];
    const isGranted = await this.requestTokens(requestingTurns, this.row, false);
    if (isGranted === undefined) {
      requestingTurns.forEach(turn => {
        turn.decide('unknown');
      });
      return false;
    }
    requestingTurns.forEach((turn, index) => {
      if (isGranted[index] === true) {
        this.startTurn(turn.maximumTokens);
        turn.decide('held');
        if (turn.isAbandoned) {
          this.settle(turn.maximumTokens, 0);
        }
        return;
      }
      turn.decide('spent');
    });
    return true;
  }

  private async requestTokens(
    requestingTurns: readonly WaitingTurn[],
    known: KnownRow,
    isJustRead: boolean,
  ): Promise<readonly boolean[] | undefined> {
    const isLikelyStale =
      this.row.version === 0 && requestingTurns.some(turn => turn.hasEarlierTurns);
    const edited = await this.editRow(known, row => this.propose(requestingTurns, row), {
      maximumFailures: requestingTurns.length > 0 ? MAXIMUM_FAILURES : 0,
      readsFirst: isLikelyStale,
    });
    if (edited === undefined) {
      return undefined;
    }
    const { expiresAt, grant, sentWrite } = edited.result;
    if (grant.isGranted.includes(false) && !edited.isConfirmed && !isJustRead) {
      const fresh = await readRow(this.dependencies.table, this.address);
      return fresh.err ? undefined : await this.requestTokens(requestingTurns, fresh.val.row, true);
    }
    this.rowExpiresAt = expiresAt;
    this.settledTokens -= sentWrite.settledTokens;
    this.advanceTokens =
      grant.advanceTokens - (this.usedAdvanceTokens - sentWrite.usedAdvanceTokens);
    this.isReleased = false;
    this.mayKeepUnused = grant.mayKeepUnused;
    this.isBudgetLow = grant.advanceTokens === 0;
    this.unconfirmedWrites.clear();
    return grant.isGranted;
  }

  private propose(requestingTurns: readonly WaitingTurn[], row: KnownRow): RowEdit<Proposal> {
    const account = this.readAccount(row);
    const ownReservation = account.holds[this.dependencies.holder];
    if (this.startedTurns === 0) {
      this.isFirstWriter = isUnused(account, this.dependencies.holder);
    }
    // If a write whose answer was lost is in the row, the row already includes its settled tokens.
    const recordedTokens =
      ownReservation === undefined
        ? 0
        : (this.unconfirmedWrites.get(ownReservation.write)?.settledTokens ?? 0);
    const writeNumber = ++this.lastWriteNumber;
    const grant = grantTokens(account, {
      settledTokens: this.settledTokens - recordedTokens,
      expiresAt: this.lastExpiresAt,
      holder: this.dependencies.holder,
      inFlightTokens: this.inFlightTokens,
      expectedDemand: this.lastDemand,
      maximumAdvanceTokens: this.findMaximumAdvance(requestingTurns),
      waitingDemands: requestingTurns,
      write: writeNumber,
    });
    const sentWrite = {
      settledTokens: this.settledTokens,
      usedAdvanceTokens: this.usedAdvanceTokens,
    };
    const proposedTokens = grant.account.holds[this.dependencies.holder]?.tokens;
    if (
      !grant.isGranted.includes(true) &&
      this.settledTokens === recordedTokens &&
      proposedTokens === ownReservation?.tokens &&
      (account === emptyAccount || this.hasLeft(RENEWAL_LIFETIME_SHARE, account.expiresAt))
    ) {
      return { result: { expiresAt: account.expiresAt, grant, sentWrite }, kind: 'leave' };
    }
    this.advanceTokens = Math.min(this.advanceTokens, grant.advanceTokens);
    this.unconfirmedWrites.set(writeNumber, sentWrite);
    const { expiresAt } = grant.account;
    const value = encodeAccount(grant.account);
    return { result: { expiresAt, grant, sentWrite }, kind: 'write', value };
  }

  /** Returns how much may be reserved in advance: no more than before if the row is only written so that it is kept. */
  private findMaximumAdvance(requestingTurns: readonly WaitingTurn[]): number {
    if (this.isStopping) {
      return 0;
    }
    const isRenewal = requestingTurns.length === 0 && !this.isBudgetLow;
    return isRenewal ? this.advanceTokens : Infinity;
  }

  /** Reads the account; only a sweep removes rows, so one that has gone while it was in use is restored as it was. */
  private readAccount(row: KnownRow): BudgetAccount {
    return decodeAccount(row.value ?? this.row.value);
  }

  private async release(): Promise<void> {
    this.advanceTokens = 0;
    const edited = await this.editRow(
      this.row,
      row => {
        const account = this.readAccount(row);
        if (this.isSettledIn(account)) {
          return { result: undefined, kind: 'leave' };
        }
        const value = encodeAccount(
          releaseTokens(account, this.dependencies.holder, this.settledTokens),
        );
        return { result: undefined, kind: 'write', value };
      },
      { maximumFailures: MAXIMUM_FAILURES, readsFirst: false },
    );
    this.isWriting = false;
    if (edited !== undefined) {
      this.settledTokens = 0;
      this.isReleased = true;
      this.unconfirmedWrites.clear();
    }
    if (this.waitingTurns.length > 0) {
      this.startWriting();
    }
  }

  /**
   * Whether an account holds no tokens for this object and lacks none that turns here delivered. An empty
   * hold may stay once the program has delivered something: it only shows that the program is not new.
   */
  private isSettledIn({ holds, spent }: BudgetAccount): boolean {
    const hold = holds[this.dependencies.holder];
    const isUpToDate = this.settledTokens === 0 && this.unconfirmedWrites.size === 0;
    return hold === undefined || (isUpToDate && hold.tokens === 0 && spent > 0);
  }

  private async editRow<EditResult>(
    known: KnownRow,
    edit: (row: KnownRow) => RowEdit<EditResult>,
    { maximumFailures, readsFirst }: Pick<EditOptions, 'maximumFailures' | 'readsFirst'>,
  ): Promise<EditedRow<EditResult> | undefined> {
    const { random, table, timers } = this.dependencies;
    const edited = await editRow(table, timers, this.address, known, edit, {
      maximumFailures,
      random,
      readsFirst,
      signal: new AbortController().signal,
    });
    if (edited.ok) {
      this.row = edited.val.row;
      return edited.val;
    }
    this.dependencies.logger.warn(
      { event: 'budget-write-failed', failure: edited.val.message, program: this.address.key },
      'could not write the token account of a program',
    );
    return undefined;
  }
}

/** State of a {@link ProgramBudget} that a write was based on. */
interface SentWrite {
  readonly settledTokens: number;
  /** Total of the tokens granted from those reserved in advance, at the time of the write. */
  readonly usedAdvanceTokens: number;
}

interface Proposal {
  /** Expiry that the row states after the edit, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
  readonly grant: BudgetGrant;
  readonly sentWrite: SentWrite;
}

/** Whether no turn of the program has delivered anything or is in flight at other holders. */
function isUnused({ holds, spent }: BudgetAccount, holder: string): boolean {
  return spent === 0 && Object.keys(holds).every(name => name === holder);
}
