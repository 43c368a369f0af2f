import type { TimerService, TimerSubscription } from '@zincring/core';

import type { Admittance } from './limiter.js';
import type { Loan, LoanClient, LoanKind, LoanRequest, LoanTerms } from './loan.js';
import type { BucketSize } from './tokenBucket.js';
import type { ReturnedLoan, Stake } from './workspaceEscrow.js';

import { DemandMeter } from './demandMeter.js';
import { noLoan } from './loan.js';
import { shareCapacity } from './shareCapacity.js';
import { LEAST_RETRY_MILLISECONDS, WaitingLine } from './waitingLine.js';
import { WorkspaceEscrow } from './workspaceEscrow.js';

/** What the limits of all workspaces at one instance have in common. */
export interface LimiterParts {
  readonly timers: TimerService;
  readonly loans: LoanClient;
  readonly terms: LoanTerms;
  /** Name of this process; see `borrowerName`. */
  readonly borrower: string;
  /** Shares of every workspace that this instance owns by its seats. */
  readonly ownStakes: () => readonly Stake[];
  /** The instance that gathers the tokens of a workspace; `undefined` for this one. */
  readonly homeOf: (workspace: string) => string | undefined;
  /** Other instances that hold seats. */
  readonly lenders: () => readonly string[];
  /** Most requests of one workspace that wait here. */
  readonly maximumWaiting: number;
  /** First number of a loan; differs between the processes of an instance. */
  readonly firstLoan: number;
}

/** How much of its demand a lender keeps for itself. */
const KEEP_FACTOR = 1.25;
/** Least whole tokens that make a share of use to its own instance. */
const USEFUL_TOKENS = 2;
/** How long tokens are borrowed ahead, in seconds of the demand. */
const PREFETCH_SECONDS = 0.2;
/** How late a borrower may come back for a token that it was promised, in milliseconds. */
const PROMISE_MILLISECONDS = 50;
/** Pause after a loan that was not answered, in milliseconds. */
const FAILED_PAUSE_MILLISECONDS = 200;
/** Pause until shares have been gathered for the first time, in milliseconds. */
const GATHERING_PAUSE_MILLISECONDS = 10;
/** How long the answers of lenders may take, in milliseconds. */
const GATHERING_MILLISECONDS = 100;
/** By how much the time to a token may be underestimated, in milliseconds. */
const WAIT_SLACK_MILLISECONDS = 25;
const LEAST_PAUSE_MILLISECONDS = 5;
/** Pause while nothing accrues at the home, in milliseconds. */
const STARVED_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 250;
const LONGEST_PROMISE_MILLISECONDS = 60_000;
/** How long shares are gathered after the last need, in milliseconds. */
const NEED_MILLISECONDS = 10_000;
/** The same for bursts that stay whole, which are lost when their shares go back. */
const WHOLE_BURST_NEED_MILLISECONDS = 600_000;
/** When a request may come again that a stop has refused, in milliseconds. */
const STOPPED_RETRY_MILLISECONDS = 1_000;
/** Most spent loans that are told with one request. */
const MAXIMUM_SPENT_LOANS = 64;
/** Part of a loan's time after which unspent tokens go back. */
const RETURN_AFTER = 0.6;

/** The limit of one workspace at one instance. */
export class WorkspaceLimiter {
  private readonly escrow: WorkspaceEscrow;
  private readonly line = new WaitingLine();
  private readonly demand = new DemandMeter();
  /** Loans spent to the end, by lender, to be told with the next request. */
  private readonly spentLoans = new Map<string, number[]>();
  private readonly nextShareAt = new Map<string, number>();
  private wake: TimerSubscription | undefined;
  private gathering: TimerSubscription | undefined;
  private isAsking = false;
  private nextAskAt = Number.NEGATIVE_INFINITY;
  /** When the home expects a token for this instance. */
  private expectedFrom = Number.NEGATIVE_INFINITY;
  private isHintFirm = false;
  private gatheringSince = Number.NEGATIVE_INFINITY;
  /** When a token was last asked for, here or by another instance. */
  private usedAt = Number.NEGATIVE_INFINITY;
  private neededAt = Number.NEGATIVE_INFINITY;
  /** Borrowers that were told to ask again, with the time until which they count. */
  private readonly promises = new Map<string, number>();

  public constructor(
    private readonly workspace: string,
    size: BucketSize,
    private readonly parts: LimiterParts,
  ) {
    this.escrow = new WorkspaceEscrow({ ...parts, now: parts.timers.now(), size });
  }

  /** Changes rate and burst. */
  public resize(size: BucketSize): void {
    this.escrow.resize(this.now, size);
    this.pump();
  }

  /** Takes a token, or waits for one where that helps. */
  public async admit(waitMilliseconds: number): Promise<Admittance> {
    const now = this.now;
    this.demand.note(now);
    this.usedAt = now;
    if (this.line.size === 0 && this.escrow.take(now)) {
      this.returnOver(0);
      return { status: 'granted' };
    }
    const expected = this.expectedAt(now, this.line.size) - now;
    const isFull = this.line.size >= this.parts.maximumWaiting;
    if (isFull || expected > waitMilliseconds - WAIT_SLACK_MILLISECONDS) {
      this.noteNeed();
      return { retryMilliseconds: Math.max(LEAST_RETRY_MILLISECONDS, expected), status: 'refused' };
    }
    const admittance = this.line.join(now + waitMilliseconds);
    this.pump();
    return await admittance;
  }

  /** Answers another instance that asks for a loan. */
  public lend(request: LoanRequest): Loan {
    const now = this.now;
    if (!this.escrow.isSameSize(request.size)) {
      return { ...noLoan(LONGEST_PAUSE_MILLISECONDS), isGathering: true };
    }
    this.escrow.endPredecessors(now, request.borrower);
    switch (request.kind) {
      case 'settle':
        this.escrow.settle(now, request);
        this.pump();
        return noLoan(0);
      case 'share':
        return this.escrow.lendShare(now, request, this.keptShare(now));
      case 'tokens':
        return this.lendTokens(now, request);
    }
  }

  /** Gives everything borrowed back. */
  public returnAll(): void {
    this.gathering?.stop();
    this.gathering = undefined;
    this.returnOver(Number.POSITIVE_INFINITY);
    this.giveBack(this.escrow.returnShares(this.now));
  }

  /** Gives everything borrowed back and refuses those that wait. */
  public stop(): void {
    this.wake?.stop();
    this.returnAll();
    this.line.refuseAll(STOPPED_RETRY_MILLISECONDS);
  }

  private get now(): number {
    return this.parts.timers.now();
  }

  private lendTokens(now: number, request: LoanRequest): Loan {
    this.usedAt = now;
    this.escrow.settleSpent(now, request);
    const available = this.line.size > 0 ? 0 : this.escrow.available(now);
    // No more than half goes to one borrower at a time, so that the others find some too.
    const most = Math.max(1, Math.floor(available / 2));
    const tokens = available < 1 ? 0 : Math.min(request.tokens, most);
    const loan = this.escrow.lendTokens(now, { ...request, tokens });
    if (loan.tokens < request.tokens) {
      this.noteNeed();
    }
    this.promises.delete(request.borrower);
    return loan.tokens > 0 ? loan : this.promise(now, request.borrower);
  }

  /** When a borrower should ask again: after those who were promised the tokens to come first. */
  private promise(now: number, borrower: string): Loan {
    const accrued = this.escrow.millisecondsUntil(now, 1 + this.line.size);
    if (this.isGatheringFresh(now)) {
      return { ...noLoan(GATHERING_PAUSE_MILLISECONDS), isGathering: true };
    }
    if (!Number.isFinite(accrued)) {
      // Nothing accrues here yet: that says nothing about the rate.
      return { ...noLoan(STARVED_PAUSE_MILLISECONDS), isGathering: true };
    }
    for (const [other, until] of this.promises) {
      if (until <= now) {
        this.promises.delete(other);
      }
    }
    const rate = this.escrow.rate(now) || this.escrow.limits.rate;
    const ahead = (this.promises.size / rate) * 1_000;
    const expected = Math.min(accrued + ahead, LONGEST_PROMISE_MILLISECONDS);
    this.promises.set(borrower, now + limitPause(expected) + PROMISE_MILLISECONDS);
    return noLoan(expected);
  }

  private isSupplyKnown(now: number): boolean {
    return !this.isGatheringFresh(now) && Number.isFinite(this.escrow.millisecondsUntil(now, 1));
  }

  /** Whether shares that lenders can give may still be on their way. */
  private isGatheringFresh(now: number): boolean {
    return now - this.gatheringSince < GATHERING_MILLISECONDS;
  }

  private keptShare(now: number): number {
    const { rate } = this.escrow.limits;
    const free = this.escrow.ownFreeShare(now);
    const isUseful = shareCapacity(this.escrow.limits, free) >= USEFUL_TOKENS;
    return isUseful ? Math.min(free, (this.demand.rate(now) * KEEP_FACTOR) / rate) : 0;
  }

  /** When the token of a place in the line can be expected, at the best. */
  private expectedAt(now: number, place: number): number {
    const { burst, rate } = this.escrow.limits;
    const isHome = this.parts.homeOf(this.workspace) === undefined;
    const isKnown = isHome ? this.isSupplyKnown(now) : this.isHintFirm && now < this.nextAskAt;
    if (!isKnown) {
      // The home or the lenders may hold the whole burst.
      return now + (Math.max(0, place + 1 - burst) / rate) * 1_000;
    }
    const available = this.escrow.available(now);
    if (isHome) {
      const missing = Math.max(0, place + 1 - available);
      return now + (missing / (this.escrow.rate(now) || rate)) * 1_000;
    }
    const missing = Math.max(0, place - Math.floor(available));
    return this.expectedFrom + (missing / rate) * 1_000;
  }

  /** Grants what can be granted and arranges for the rest. */
  private pump(): void {
    const now = this.now;
    this.wake?.stop();
    while (this.line.size > 0 && this.escrow.take(now)) {
      this.line.grantFirst();
    }
    this.returnOver(0);
    this.line.refuseHopeless(now, place => this.expectedAt(now, place));
    if (this.line.size === 0) {
      return;
    }
    this.noteNeed();
    const home = this.parts.homeOf(this.workspace);
    if (home !== undefined && !this.isAsking && now >= this.nextAskAt) {
      void this.askHome(home);
    }
    const nextTry = Math.min(
      this.line.firstDeadline,
      now + Math.max(LEAST_PAUSE_MILLISECONDS, this.escrow.millisecondsUntil(now, 1)),
      // The home may change, or its lenders may come, while requests wait.
      home === undefined || this.isAsking ? now + STARVED_PAUSE_MILLISECONDS : this.nextAskAt,
    );
    this.wake = this.parts.timers.after(nextTry - now, () => {
      this.pump();
    });
  }

  private async askHome(home: string): Promise<void> {
    this.isAsking = true;
    const now = this.now;
    const prefetch = Math.floor(this.demand.rate(now) * PREFETCH_SECONDS);
    const tokens = this.line.size + prefetch;
    const spentLoans = this.spentLoans.get(home) ?? [];
    this.spentLoans.delete(home);
    const loan = await this.borrow(home, { ...this.request('tokens', tokens, 0), spentLoans });
    this.isAsking = false;
    const expected = loan === undefined ? FAILED_PAUSE_MILLISECONDS : loan.retryMilliseconds;
    this.expectedFrom = this.now + expected;
    this.nextAskAt = this.now + (loan !== undefined && loan.tokens > 0 ? 0 : limitPause(expected));
    this.isHintFirm = loan?.tokens === 0 && !loan.isGathering;
    if (loan !== undefined && loan.tokens > 0) {
      this.parts.timers.after(loan.validMilliseconds * RETURN_AFTER, () => {
        this.returnOver(loan.validMilliseconds * (1 - RETURN_AFTER));
      });
    }
    this.pump();
  }

  /** Notes that the tokens here do not suffice, and gathers shares if this is the place for it. */
  private noteNeed(): void {
    this.neededAt = this.now;
    this.gather();
  }

  private gather(): void {
    const now = this.now;
    if (this.parts.homeOf(this.workspace) !== undefined) {
      return;
    }
    for (const lender of this.parts.lenders()) {
      if (now >= (this.nextShareAt.get(lender) ?? Number.NEGATIVE_INFINITY)) {
        void this.askShare(lender);
      }
    }
    if (this.gathering !== undefined) {
      return;
    }
    this.gatheringSince = now;
    this.gathering = this.parts.timers.every(this.parts.terms.renewMilliseconds, () => {
      this.continueGathering();
    });
  }

  private continueGathering(): void {
    const now = this.now;
    const isNeeded = now - this.neededAt < NEED_MILLISECONDS;
    const isWhole = shareCapacity(this.escrow.limits, 1 / 2) === 0;
    const isKept = isWhole && now - this.usedAt < WHOLE_BURST_NEED_MILLISECONDS;
    if ((isNeeded || isKept) && this.parts.homeOf(this.workspace) === undefined) {
      this.gather();
      return;
    }
    this.gathering?.stop();
    this.gathering = undefined;
    this.giveBack(this.escrow.returnShares(now));
  }

  private async askShare(lender: string): Promise<void> {
    this.nextShareAt.set(lender, Number.POSITIVE_INFINITY);
    const { renewMilliseconds, shareMilliseconds } = this.parts.terms;
    const loan = await this.borrow(lender, this.request('share', 0, 0));
    const pause = loan?.share === 0 ? shareMilliseconds / 4 : renewMilliseconds / 2;
    this.nextShareAt.set(lender, this.now + pause);
    if (this.gathering === undefined) {
      this.giveBack(this.escrow.returnShares(this.now));
    }
    this.pump();
  }

  private async borrow(lender: string, request: LoanRequest): Promise<Loan | undefined> {
    const sentAt = this.now;
    const loan = await this.parts.loans.borrow(lender, request);
    if (loan !== undefined) {
      this.escrow.receive(this.now, { lender, loan, request, sentAt });
    }
    return loan;
  }

  /** Gives back loans of tokens that are spent or end within a time. */
  private returnOver(withinMilliseconds: number): void {
    const { burst, rate } = this.escrow.limits;
    const isTight = burst - 1 < (rate * this.parts.terms.tokenMilliseconds) / 1_000;
    const over = this.escrow.returnTokens(this.now, withinMilliseconds);
    this.giveBack(over.filter(each => isTight || each.tokens >= 1));
    for (const { lender, loan } of over.filter(each => !isTight && each.tokens < 1)) {
      const spent = this.spentLoans.get(lender) ?? [];
      this.spentLoans.set(lender, [...spent, loan].slice(-MAXIMUM_SPENT_LOANS));
    }
  }

  private giveBack(returned: readonly ReturnedLoan[]): void {
    for (const { lender, loan, tokens } of returned) {
      void this.parts.loans.borrow(lender, this.request('settle', tokens, loan));
    }
  }

  private request(kind: LoanKind, tokens: number, loan: number): LoanRequest {
    return {
      borrower: this.parts.borrower,
      kind,
      loan,
      size: this.escrow.limits,
      spentLoans: [],
      tokens,
      workspace: this.workspace,
    };
  }
}

function limitPause(milliseconds: number): number {
  return Math.min(LONGEST_PAUSE_MILLISECONDS, Math.max(LEAST_PAUSE_MILLISECONDS, milliseconds));
}
