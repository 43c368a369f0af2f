import type { TimerService, TimerSubscription } from '@zincring/core';

import type { AdmissionDecision } from './limiter.js';
import type { Loan, LoanClient, LoanKind, LoanRequest, LoanTerms } from './loan.js';
import type { BucketSize } from './tokenBucket.js';
import type { ReturnedLoan, TimedShare } from './workspaceEscrow.js';

import { RequestRateMeter } from './requestRateMeter.js';
import { noLoan } from './loan.js';
import { shareCapacity } from './shareCapacity.js';
import { MINIMUM_RETRY_MILLISECONDS, WaitQueue } from './waitQueue.js';
import { WorkspaceEscrow } from './workspaceEscrow.js';

/** Dependencies and settings common to the limiters of all workspaces at one instance. */
export interface LimiterDependencies {
  readonly timers: TimerService;
  readonly loans: LoanClient;
  readonly terms: LoanTerms;
  /** Name of this process; see `borrowerName`. */
  readonly borrower: string;
  /** Returns the shares of every workspace that this instance owns by its seats. */
  readonly ownShares: () => readonly TimedShare[];
  /** Returns the instance that gathers shares for a workspace; `undefined` if it is this one. */
  readonly homeOf: (workspace: string) => string | undefined;
  /** Returns the other instances that hold seats. */
  readonly lenders: () => readonly string[];
  /** Maximum number of requests of one workspace that wait at this instance. */
  readonly maximumWaiting: number;
  /** Number of the first loan; differs between the processes of an instance. */
  readonly firstLoanId: number;
}

/** Rate that a lender retains for itself, as a multiple of its own request rate. */
const RETAINED_DEMAND_FACTOR = 1.25;
/** Minimum capacity, in tokens, at which a lender retains any share for itself. */
const MINIMUM_USEFUL_TOKENS = 2;
/** Time for which tokens are borrowed in advance, at the current request rate, in seconds. */
const PREFETCH_SECONDS = 0.2;
/** Time by which a deferred borrower may retry late and keep its position, in milliseconds. */
const DEFERRAL_GRACE_MILLISECONDS = 50;
/** Pause after a loan request without a response, in milliseconds. */
const NO_RESPONSE_PAUSE_MILLISECONDS = 200;
/** Retry time given to borrowers while the first shares are being gathered, in milliseconds. */
const GATHERING_PAUSE_MILLISECONDS = 10;
/** Time allowed for the lenders' responses to the first share requests, in milliseconds. */
const GATHERING_TIMEOUT_MILLISECONDS = 100;
/** Allowance for an underestimated time to a token, in milliseconds. */
const WAIT_SLACK_MILLISECONDS = 25;
/** Minimum pause between attempts to obtain tokens, in milliseconds. */
const MINIMUM_PAUSE_MILLISECONDS = 5;
/** Pause while no tokens accrue at the home, in milliseconds. */
const NO_SUPPLY_PAUSE_MILLISECONDS = 50;
/** Maximum pause between attempts to obtain tokens, in milliseconds. */
const MAXIMUM_PAUSE_MILLISECONDS = 250;
/** Maximum retry time given to a borrower, in milliseconds. */
const MAXIMUM_DEFERRAL_MILLISECONDS = 60_000;
/** Time for which shares are gathered after the last shortage, in milliseconds. */
const SHORTAGE_GATHERING_MILLISECONDS = 10_000;
/**
 * Time for which the shares of an indivisible burst are gathered after the last request, in
 * milliseconds. It is longer because the tokens of such a burst are lost when its shares go back.
 */
const INDIVISIBLE_BURST_GATHERING_MILLISECONDS = 600_000;
/** Retry time given to requests that are refused because the limiter stops, in milliseconds. */
const STOPPED_RETRY_MILLISECONDS = 1_000;
/** Maximum number of spent loans reported with one request. */
const MAXIMUM_SPENT_LOANS = 64;
/** Fraction of a loan's validity after which unspent tokens are returned. */
const RETURN_AFTER_FRACTION = 0.6;

/** Enforces the limit of one workspace at one instance. */
export class WorkspaceLimiter {
  private readonly escrow: WorkspaceEscrow;
  private readonly queue = new WaitQueue();
  private readonly demand = new RequestRateMeter();
  /** Numbers of completely spent loans, by lender, to be reported with the next request to it. */
  private readonly spentLoans = new Map<string, number[]>();
  private readonly nextShareRequestAt = new Map<string, number>();
  private wakeTimer: TimerSubscription | undefined;
  private gatheringTimer: TimerSubscription | undefined;
  private isBorrowing = false;
  private nextBorrowAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which the home expects a token for this instance, in milliseconds. */
  private expectedTokenAt = Number.NEGATIVE_INFINITY;
  /** Whether the retry time that the home gave is an estimate of its supply. */
  private isHintReliable = false;
  private gatheringStartedAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which a token was last requested, here or by another instance. */
  private lastRequestAt = Number.NEGATIVE_INFINITY;
  private lastShortageAt = Number.NEGATIVE_INFINITY;
  /** Borrowers that were asked to retry, with the time until which they keep their position. */
  private readonly deferredBorrowers = new Map<string, number>();

  public constructor(
    private readonly workspace: string,
    size: BucketSize,
    private readonly dependencies: LimiterDependencies,
  ) {
    this.escrow = new WorkspaceEscrow({ ...dependencies, now: dependencies.timers.now(), size });
  }

  /** Changes rate and burst. */
  public resize(size: BucketSize): void {
    this.escrow.resize(this.now, size);
    this.processQueue();
  }

  /** Acquires a token; waits for it if it can be expected in time. */
  public async admit(waitMilliseconds: number): Promise<AdmissionDecision> {
    const now = this.now;
    this.demand.record(now);
    this.lastRequestAt = now;
    if (this.queue.size === 0 && this.escrow.tryAcquire(now)) {
      this.returnFinishedLoans(0);
      return { status: 'granted' };
    }
    const expectedWaitMilliseconds = this.estimateTokenTime(now, this.queue.size) - now;
    const isFull = this.queue.size >= this.dependencies.maximumWaiting;
    if (isFull || expectedWaitMilliseconds > waitMilliseconds - WAIT_SLACK_MILLISECONDS) {
      this.recordShortage();
      return {
        retryMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, expectedWaitMilliseconds),
        status: 'refused',
      };
    }
    const decision = this.queue.enqueue(now + waitMilliseconds);
    this.processQueue();
    return await decision;
  }

  /** Handles the loan request of another instance. */
  public lend(request: LoanRequest): Loan {
    const now = this.now;
    if (!this.escrow.isSameSize(request.size)) {
      return { ...noLoan(MAXIMUM_PAUSE_MILLISECONDS), isGathering: true };
    }
    this.escrow.endEarlierIncarnations(now, request.borrower);
    switch (request.kind) {
      case 'settle':
        this.escrow.settle(now, request);
        this.processQueue();
        return noLoan(0);
      case 'share':
        return this.escrow.lendShare(now, request, this.retainedShare(now));
      case 'tokens':
        return this.lendTokens(now, request);
    }
  }

  /** Returns everything borrowed. */
  public returnLoans(): void {
    this.gatheringTimer?.stop();
    this.gatheringTimer = undefined;
    this.returnFinishedLoans(Number.POSITIVE_INFINITY);
    this.sendSettlements(this.escrow.returnShares(this.now));
  }

  /** Returns everything borrowed and refuses the waiting requests. */
  public stop(): void {
    this.wakeTimer?.stop();
    this.returnLoans();
    this.queue.refuseAll(STOPPED_RETRY_MILLISECONDS);
  }

  private get now(): number {
    return this.dependencies.timers.now();
  }

  private lendTokens(now: number, request: LoanRequest): Loan {
    this.lastRequestAt = now;
    this.escrow.settleSpent(now, request);
    const available = this.queue.size > 0 ? 0 : this.escrow.available(now);
    // One borrower gets at most half at a time, so that some are left for the others.
    const maximumTokens = Math.max(1, Math.floor(available / 2));
    const tokens = available < 1 ? 0 : Math.min(request.tokens, maximumTokens);
    const loan = this.escrow.lendTokens(now, { ...request, tokens });
    if (loan.tokens < request.tokens) {
      this.recordShortage();
    }
    this.deferredBorrowers.delete(request.borrower);
    return loan.tokens > 0 ? loan : this.deferBorrower(now, request.borrower);
  }

  /** Refuses a borrower with a retry time that leaves the next tokens to those deferred before it. */
  private deferBorrower(now: number, borrower: string): Loan {
    const accrualMilliseconds = this.escrow.millisecondsUntil(now, 1 + this.queue.size);
    if (this.areSharesPending(now)) {
      return { ...noLoan(GATHERING_PAUSE_MILLISECONDS), isGathering: true };
    }
    if (!Number.isFinite(accrualMilliseconds)) {
      // No tokens accrue here yet, which allows no estimate of the time to one.
      return { ...noLoan(NO_SUPPLY_PAUSE_MILLISECONDS), isGathering: true };
    }
    for (const [other, until] of this.deferredBorrowers) {
      if (until <= now) {
        this.deferredBorrowers.delete(other);
      }
    }
    const rate = this.escrow.rate(now) || this.escrow.limits.rate;
    const aheadMilliseconds = (this.deferredBorrowers.size / rate) * 1_000;
    const expectedMilliseconds = Math.min(
      accrualMilliseconds + aheadMilliseconds,
      MAXIMUM_DEFERRAL_MILLISECONDS,
    );
    this.deferredBorrowers.set(
      borrower,
      now + clampPause(expectedMilliseconds) + DEFERRAL_GRACE_MILLISECONDS,
    );
    return noLoan(expectedMilliseconds);
  }

  private isSupplyKnown(now: number): boolean {
    return !this.areSharesPending(now) && Number.isFinite(this.escrow.millisecondsUntil(now, 1));
  }

  /** Whether responses of lenders to the first share requests may still be outstanding. */
  private areSharesPending(now: number): boolean {
    return now - this.gatheringStartedAt < GATHERING_TIMEOUT_MILLISECONDS;
  }

  /** Calculates the share that this instance retains when it lends. */
  private retainedShare(now: number): number {
    const { rate } = this.escrow.limits;
    const freeShare = this.escrow.ownFreeShare(now);
    const isUseful = shareCapacity(this.escrow.limits, freeShare) >= MINIMUM_USEFUL_TOKENS;
    return isUseful
      ? Math.min(freeShare, (this.demand.requestsPerSecond(now) * RETAINED_DEMAND_FACTOR) / rate)
      : 0;
  }

  /** Estimates the earliest time at which a position in the queue can expect its token. */
  private estimateTokenTime(now: number, position: number): number {
    const { burst, rate } = this.escrow.limits;
    const isHome = this.dependencies.homeOf(this.workspace) === undefined;
    const isEstimateReliable = isHome
      ? this.isSupplyKnown(now)
      : this.isHintReliable && now < this.nextBorrowAt;
    if (!isEstimateReliable) {
      // The home or the lenders may hold the complete burst.
      return now + (Math.max(0, position + 1 - burst) / rate) * 1_000;
    }
    const available = this.escrow.available(now);
    if (isHome) {
      const missingTokens = Math.max(0, position + 1 - available);
      return now + (missingTokens / (this.escrow.rate(now) || rate)) * 1_000;
    }
    const missingTokens = Math.max(0, position - Math.floor(available));
    return this.expectedTokenAt + (missingTokens / rate) * 1_000;
  }

  /**
   * Grants the waiting requests for which there are tokens, refuses those that cannot be served in
   * time, and schedules the next attempt for the remainder.
   */
  private processQueue(): void {
    const now = this.now;
    this.wakeTimer?.stop();
    while (this.queue.size > 0 && this.escrow.tryAcquire(now)) {
      this.queue.grantFirst();
    }
    this.returnFinishedLoans(0);
    this.queue.refuseLate(now, position => this.estimateTokenTime(now, position));
    if (this.queue.size === 0) {
      return;
    }
    this.recordShortage();
    const home = this.dependencies.homeOf(this.workspace);
    if (home !== undefined && !this.isBorrowing && now >= this.nextBorrowAt) {
      void this.borrowTokens(home);
    }
    const nextAttemptAt = Math.min(
      this.queue.earliestDeadline,
      now + Math.max(MINIMUM_PAUSE_MILLISECONDS, this.escrow.millisecondsUntil(now, 1)),
      // The home or its lenders may change while requests wait.
      home === undefined || this.isBorrowing
        ? now + NO_SUPPLY_PAUSE_MILLISECONDS
        : this.nextBorrowAt,
    );
    this.wakeTimer = this.dependencies.timers.after(nextAttemptAt - now, () => {
      this.processQueue();
    });
  }

  private async borrowTokens(home: string): Promise<void> {
    this.isBorrowing = true;
    const now = this.now;
    const prefetchTokens = Math.floor(this.demand.requestsPerSecond(now) * PREFETCH_SECONDS);
    const tokens = this.queue.size + prefetchTokens;
    const spentLoans = this.spentLoans.get(home) ?? [];
    this.spentLoans.delete(home);
    const loan = await this.borrow(home, {
      ...this.createRequest('tokens', tokens, 0),
      spentLoans,
    });
    this.isBorrowing = false;
    const expectedMilliseconds =
      loan === undefined ? NO_RESPONSE_PAUSE_MILLISECONDS : loan.retryMilliseconds;
    this.expectedTokenAt = this.now + expectedMilliseconds;
    this.nextBorrowAt =
      this.now + (loan !== undefined && loan.tokens > 0 ? 0 : clampPause(expectedMilliseconds));
    this.isHintReliable = loan?.tokens === 0 && !loan.isGathering;
    if (loan !== undefined && loan.tokens > 0) {
      this.dependencies.timers.after(loan.validMilliseconds * RETURN_AFTER_FRACTION, () => {
        this.returnFinishedLoans(loan.validMilliseconds * (1 - RETURN_AFTER_FRACTION));
      });
    }
    this.processQueue();
  }

  /** Records that the tokens here do not suffice, and gathers shares if this is the home. */
  private recordShortage(): void {
    this.lastShortageAt = this.now;
    this.gather();
  }

  /** Requests shares from all lenders that are due, if this instance is the home. */
  private gather(): void {
    const now = this.now;
    if (this.dependencies.homeOf(this.workspace) !== undefined) {
      return;
    }
    for (const lender of this.dependencies.lenders()) {
      if (now >= (this.nextShareRequestAt.get(lender) ?? Number.NEGATIVE_INFINITY)) {
        void this.borrowShare(lender);
      }
    }
    if (this.gatheringTimer !== undefined) {
      return;
    }
    this.gatheringStartedAt = now;
    this.gatheringTimer = this.dependencies.timers.every(
      this.dependencies.terms.renewMilliseconds,
      () => {
        this.continueGathering();
      },
    );
  }

  private continueGathering(): void {
    const now = this.now;
    const isShortageRecent = now - this.lastShortageAt < SHORTAGE_GATHERING_MILLISECONDS;
    const isIndivisible = shareCapacity(this.escrow.limits, 1 / 2) === 0;
    const isBurstInUse =
      isIndivisible && now - this.lastRequestAt < INDIVISIBLE_BURST_GATHERING_MILLISECONDS;
    if (
      (isShortageRecent || isBurstInUse) &&
      this.dependencies.homeOf(this.workspace) === undefined
    ) {
      this.gather();
      return;
    }
    this.gatheringTimer?.stop();
    this.gatheringTimer = undefined;
    this.sendSettlements(this.escrow.returnShares(now));
  }

  private async borrowShare(lender: string): Promise<void> {
    this.nextShareRequestAt.set(lender, Number.POSITIVE_INFINITY);
    const { renewMilliseconds, shareMilliseconds } = this.dependencies.terms;
    const loan = await this.borrow(lender, this.createRequest('share', 0, 0));
    const pauseMilliseconds = loan?.share === 0 ? shareMilliseconds / 4 : renewMilliseconds / 2;
    this.nextShareRequestAt.set(lender, this.now + pauseMilliseconds);
    if (this.gatheringTimer === undefined) {
      this.sendSettlements(this.escrow.returnShares(this.now));
    }
    this.processQueue();
  }

  private async borrow(lender: string, request: LoanRequest): Promise<Loan | undefined> {
    const sentAt = this.now;
    const loan = await this.dependencies.loans.borrow(lender, request);
    if (loan !== undefined) {
      this.escrow.receive(this.now, { lender, loan, request, sentAt });
    }
    return loan;
  }

  /**
   * Returns loans of tokens that are spent or that expire within a time. Spent loans are reported
   * with the next request to the lender, except where the burst is so small that their reservations
   * could fill it until then.
   */
  private returnFinishedLoans(withinMilliseconds: number): void {
    const { burst, rate } = this.escrow.limits;
    const needsImmediateSettlement =
      burst - 1 < (rate * this.dependencies.terms.tokenMilliseconds) / 1_000;
    const finishedLoans = this.escrow.removeFinishedLoans(this.now, withinMilliseconds);
    this.sendSettlements(
      finishedLoans.filter(each => needsImmediateSettlement || each.tokens >= 1),
    );
    for (const { lender, loanId } of finishedLoans.filter(
      each => !needsImmediateSettlement && each.tokens < 1,
    )) {
      const spentLoanIds = this.spentLoans.get(lender) ?? [];
      this.spentLoans.set(lender, [...spentLoanIds, loanId].slice(-MAXIMUM_SPENT_LOANS));
    }
  }

  private sendSettlements(returnedLoans: readonly ReturnedLoan[]): void {
    for (const { lender, loanId, tokens } of returnedLoans) {
      void this.dependencies.loans.borrow(lender, this.createRequest('settle', tokens, loanId));
    }
  }

  private createRequest(kind: LoanKind, tokens: number, loanId: number): LoanRequest {
    return {
      borrower: this.dependencies.borrower,
      kind,
      loanId,
      size: this.escrow.limits,
      spentLoans: [],
      tokens,
      workspace: this.workspace,
    };
  }
}

function clampPause(milliseconds: number): number {
  return Math.min(MAXIMUM_PAUSE_MILLISECONDS, Math.max(MINIMUM_PAUSE_MILLISECONDS, milliseconds));
}
