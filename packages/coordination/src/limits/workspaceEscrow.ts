import type { Loan, LoanRequest, LoanTerms } from './loan.js';
import type { BucketSize } from './tokenBucket.js';

import { MAXIMUM_CLOCK_DRIFT, isOtherIncarnation, addLenderMargin, noLoan } from './loan.js';
import { shareCapacity, shareForTokens } from './shareCapacity.js';

/** Share of rate and burst over a span of monotonic time. */
export interface TimedShare {
  /** Fraction of the workspace's rate and burst, from 0 to 1. */
  readonly share: number;
  /** Start of the span, in milliseconds. */
  readonly from: number;
  /** End of the span (exclusive), in milliseconds. */
  readonly until: number;
}

/** Loan of tokens from another instance, with the tokens not yet spent. */
interface BorrowedTokens {
  readonly lender: string;
  readonly loanId: number;
  readonly until: number;
  tokens: number;
}

/** Loan of tokens to another instance; capacity for them stays reserved in the burst. */
interface LentTokens {
  readonly borrower: string;
  readonly tokens: number;
  readonly until: number;
}

/** Loan that is returned to its lender. */
export interface ReturnedLoan {
  readonly lender: string;
  readonly loanId: number;
  /** Number of unspent tokens. */
  readonly tokens: number;
}

/** Share borrowed from another instance. */
interface BorrowedShare extends TimedShare {
  readonly loanId: number;
}

/** Share lent to another instance. */
interface LentShare extends TimedShare {
  readonly borrower: string;
  /** Number of the latest loan; 0 for the remainder of an earlier one. */
  readonly loanId: number;
}

/** Loan received in response to a request. */
export interface ReceivedLoan {
  readonly lender: string;
  readonly request: LoanRequest;
  /** Monotonic time before the request was sent, in milliseconds. */
  readonly sentAt: number;
  readonly loan: Loan;
}

/** Options of a {@link WorkspaceEscrow}. */
export interface WorkspaceEscrowOptions {
  readonly size: BucketSize;
  /** Monotonic time of the start, in milliseconds; the escrow starts empty. */
  readonly now: number;
  /** Returns the shares that this instance owns by its seats. */
  readonly ownShares: () => readonly TimedShare[];
  readonly terms: LoanTerms;
  /** Number of the first loan; differs between the processes of an instance. */
  readonly firstLoanId: number;
}

/** Sums of shares below this are rounding errors and count as zero. */
const SHARE_EPSILON = 1e-9;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Tracks the tokens of one workspace that one instance may grant: they accrue on the shares that
 * the instance owns or has borrowed, less the shares that it has lent.
 *
 * All instances together never grant more than a single token bucket would. The shares in use, and
 * with them the rates, add up to at most 1. The tokens together with the reservations for lent
 * tokens never exceed the capacity of the shares. Lending and returning never create tokens.
 */
export class WorkspaceEscrow {
  private size: BucketSize;
  private tokens = 0;
  private updatedAt: number;
  private nextLoanId: number;
  private borrowedTokens: BorrowedTokens[] = [];
  private lentShares: LentShare[] = [];
  private readonly borrowedShares = new Map<string, BorrowedShare>();
  /** Parts of earlier loans that their renewals no longer include, until the earlier loans end. */
  private borrowedRemainders: TimedShare[] = [];
  private readonly lentTokens = new Map<number, LentTokens>();

  public constructor(private readonly options: WorkspaceEscrowOptions) {
    this.size = options.size;
    this.updatedAt = options.now;
    this.nextLoanId = options.firstLoanId;
  }

  /** Rate and burst of the workspace across the fleet. */
  public get limits(): BucketSize {
    return this.size;
  }

  /** Whether any share or token is lent, or any share borrowed. */
  public get hasLoans(): boolean {
    return this.lentShares.length + this.borrowedShares.size + this.lentTokens.size > 0;
  }

  /** Returns the tokens that can be granted here now, including borrowed ones. */
  public available(now: number): number {
    this.advance(now);
    return this.borrowedTokens.reduce((sum, each) => sum + each.tokens, this.tokens);
  }

  /** Returns the rate at which tokens accrue here now, in tokens per second. */
  public rate(now: number): number {
    // A clock that runs fast must not create extra tokens.
    return this.shareAt(now) * this.size.rate * (1 - MAXIMUM_CLOCK_DRIFT);
  }

  /** Acquires a token if one is available, from the oldest loan first. */
  public tryAcquire(now: number): boolean {
    this.advance(now);
    const borrowed = this.borrowedTokens.find(each => each.tokens >= 1);
    if (borrowed !== undefined) {
      borrowed.tokens -= 1;
      return true;
    }
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Estimates the milliseconds until a number of tokens is available; infinite if none accrue. */
  public millisecondsUntil(now: number, tokens: number): number {
    const missingTokens = tokens - this.available(now);
    if (missingTokens <= 0) {
      return 0;
    }
    const rate = this.rate(now);
    const capacity = shareCapacity(this.size, this.shareAt(now));
    if (rate <= 0 || capacity < 1) {
      return Number.POSITIVE_INFINITY;
    }
    const isBlocked = capacity - this.reservedTokens() < 1;
    const blockedMilliseconds = isBlocked ? this.options.terms.tokenMilliseconds : 0;
    return blockedMilliseconds + (missingTokens / rate) * MILLISECONDS_PER_SECOND;
  }

  /**
   * Removes and returns the loans of tokens that are spent or that end within a time. They can no
   * longer be used here, so they may be reported to their lenders.
   */
  public removeFinishedLoans(now: number, withinMilliseconds: number): readonly ReturnedLoan[] {
    this.advance(now);
    const isFinished = (each: BorrowedTokens): boolean =>
      each.tokens < 1 || each.until - now <= withinMilliseconds;
    const returned = this.borrowedTokens.filter(isFinished);
    this.borrowedTokens = this.borrowedTokens.filter(each => !isFinished(each));
    return returned;
  }

  /** Removes and returns every borrowed share with the tokens that belong to it. */
  public returnShares(now: number): readonly ReturnedLoan[] {
    this.advance(now);
    if (this.lentTokens.size > 0) {
      // The shares back lent tokens. They expire by themselves after the loans of those tokens.
      return [];
    }
    const totalShare = this.shareAt(now);
    const tokensBefore = this.tokens;
    const returned = [...this.borrowedShares].map(([lender, { loanId, share }]) => ({
      lender,
      loanId,
      tokens: totalShare <= 0 ? 0 : tokensBefore * Math.min(1, share / totalShare),
    }));
    this.borrowedShares.clear();
    this.borrowedRemainders = [];
    const returnedTokens = returned.reduce((sum, each) => sum + each.tokens, 0);
    this.tokens = Math.max(0, this.tokens - returnedTokens);
    this.clampTokens(now);
    return returned;
  }

  /**
   * Changes rate and burst. Tokens borrowed under the earlier values are dropped, so that no token
   * outlives the values under which it was lent.
   */
  public resize(now: number, size: BucketSize): void {
    if (isEqualSize(size, this.size)) {
      return;
    }
    this.advance(now);
    this.size = size;
    this.borrowedTokens = [];
    this.clampTokens(now);
  }

  /** Records a received loan. Its validity counts from before the request was sent. */
  public receive(now: number, received: ReceivedLoan): void {
    this.advance(now);
    const { lender, loan, request, sentAt } = received;
    const until = sentAt + loan.validMilliseconds;
    if (now >= until) {
      return;
    }
    if (request.kind === 'share' && loan.share > 0) {
      this.receiveShare(now, until, lender, loan);
    }
    const isSameSize = isEqualSize(request.size, this.size);
    if (request.kind === 'tokens' && loan.tokens >= 1 && isSameSize) {
      this.borrowedTokens.push({ lender, loanId: loan.loanId, tokens: loan.tokens, until });
    }
  }

  /**
   * Records a borrowed share or its renewal. A smaller renewal does not end the earlier loan early,
   * as tokens lent against the earlier share rely on its original end.
   */
  private receiveShare(now: number, until: number, lender: string, loan: Loan): void {
    const earlierShare = this.borrowedShares.get(lender);
    if (earlierShare !== undefined && earlierShare.share > loan.share) {
      this.borrowedRemainders.push({ ...earlierShare, share: earlierShare.share - loan.share });
    }
    this.borrowedShares.set(lender, {
      from: now,
      loanId: loan.loanId,
      share: loan.share,
      until: Math.max(until, earlierShare?.until ?? until),
    });
    this.tokens += loan.tokens;
    this.clampTokens(now);
  }

  /** Whether the given rate and burst are those in force here. */
  public isSameSize(size: BucketSize): boolean {
    return isEqualSize(size, this.size);
  }

  /**
   * Lends whole tokens. Capacity for them stays reserved in the burst until the loan ends, and only
   * shares that outlast the loan back it.
   */
  public lendTokens(now: number, request: LoanRequest): Loan {
    this.advance(now);
    const validMilliseconds = this.options.terms.tokenMilliseconds;
    const until = now + addLenderMargin(validMilliseconds);
    const freeCapacity =
      shareCapacity(this.size, this.shareLastingUntil(now, until)) - this.reservedTokens();
    const tokens = Math.floor(Math.min(this.tokens, freeCapacity, request.tokens));
    if (tokens < 1) {
      return noLoan(0);
    }
    const loanId = this.nextLoanId++;
    this.tokens -= tokens;
    this.lentTokens.set(loanId, { borrower: request.borrower, tokens, until });
    return { ...noLoan(0), loanId, tokens, validMilliseconds };
  }

  /**
   * Ends the loans to earlier processes of a borrower, which have exited. Shares lent to them stay
   * lent for up to the duration of a token loan, as tokens lent against them may still be in use.
   */
  public endEarlierIncarnations(now: number, borrower: string): void {
    const isOfEarlierIncarnation = (lent: { readonly borrower: string }): boolean =>
      isOtherIncarnation(lent.borrower, borrower);
    if (![...this.lentTokens.values(), ...this.lentShares].some(isOfEarlierIncarnation)) {
      return;
    }
    this.advance(now);
    for (const [loanId, lent] of this.lentTokens) {
      if (isOfEarlierIncarnation(lent)) {
        this.lentTokens.delete(loanId);
      }
    }
    const end = now + addLenderMargin(this.options.terms.tokenMilliseconds);
    this.lentShares = this.lentShares.map(lent =>
      isOfEarlierIncarnation(lent)
        ? { ...lent, loanId: 0, until: Math.min(lent.until, end) }
        : lent,
    );
  }

  /** Ends loans whose tokens were all spent, which releases their reserved capacity. */
  public settleSpent(now: number, request: LoanRequest): void {
    this.advance(now);
    for (const loanId of request.spentLoans) {
      if (this.lentTokens.get(loanId)?.borrower === request.borrower) {
        this.lentTokens.delete(loanId);
      }
    }
  }

  /** Ends a loan early; the unspent tokens returned with it can be granted again. */
  public settle(now: number, request: LoanRequest): void {
    this.advance(now);
    if (request.loanId <= 0) {
      return;
    }
    const lent = this.lentTokens.get(request.loanId);
    const lentShare = this.lentShares.find(each => each.loanId === request.loanId);
    if ((lent ?? lentShare)?.borrower !== request.borrower) {
      return;
    }
    this.lentTokens.delete(request.loanId);
    this.lentShares = this.lentShares.filter(each => each !== lentShare);
    const maximumTokens = lent?.tokens ?? Number.POSITIVE_INFINITY;
    this.tokens += Math.max(0, Math.min(maximumTokens, request.tokens));
    this.clampTokens(now);
  }

  /**
   * Lends a share of what this instance owns, with the tokens that belong to it.
   *
   * @param retainedShare share that this instance needs itself
   */
  public lendShare(now: number, request: LoanRequest, retainedShare: number): Loan {
    this.advance(now);
    const { shareMilliseconds } = this.options.terms;
    const validMilliseconds = Math.min(shareMilliseconds, this.ownRemainingMilliseconds(now));
    const earlierLoan = this.lentShares.find(
      each => each.borrower === request.borrower && each.loanId > 0,
    );
    const otherLoans = this.lentShares.filter(each => each !== earlierLoan);
    const lentToOthers = otherLoans.reduce((sum, each) => sum + each.share, 0);
    const backingShare = shareForTokens(this.size, this.reservedTokens());
    const lendableShare = this.ownShare(now) - lentToOthers - Math.max(retainedShare, backingShare);
    if (lendableShare <= SHARE_EPSILON || validMilliseconds <= 0) {
      return noLoan(shareMilliseconds);
    }
    const shareBefore = this.shareAt(now);
    const addedShare = Math.max(0, lendableShare - (earlierLoan?.share ?? 0));
    this.lentShares = otherLoans;
    if (earlierLoan !== undefined && earlierLoan.share > lendableShare) {
      // If the borrower does not receive this response, it uses its earlier share until that ends.
      this.lentShares.push({ ...earlierLoan, loanId: 0, share: earlierLoan.share - lendableShare });
    }
    const until = Math.max(now + addLenderMargin(validMilliseconds), earlierLoan?.until ?? 0);
    const loanId = this.nextLoanId++;
    const borrower = request.borrower;
    this.lentShares.push({ borrower, from: now, loanId, share: lendableShare, until });
    const tokens =
      shareBefore <= SHARE_EPSILON ? 0 : this.tokens * Math.min(1, addedShare / shareBefore);
    this.tokens -= tokens;
    this.clampTokens(now);
    return { ...noLoan(0), loanId, share: lendableShare, tokens, validMilliseconds };
  }

  /** Returns the share that this instance owns and has not lent. */
  public ownFreeShare(now: number): number {
    this.advance(now);
    const lent = this.lentShares.reduce((sum, each) => sum + each.share, 0);
    return Math.max(0, this.ownShare(now) - lent);
  }

  private ownShare(now: number): number {
    return sumShares(this.options.ownShares(), now);
  }

  private ownRemainingMilliseconds(now: number): number {
    const endTimes = this.options
      .ownShares()
      .filter(timedShare => isActive(timedShare, now))
      .map(timedShare => timedShare.until);
    // The lender counts a loan longer than its borrower does, and both must end within the lease.
    return endTimes.length === 0 ? 0 : (Math.min(...endTimes) - now) / addLenderMargin(1);
  }

  private shareAt(now: number): number {
    const share =
      this.ownShare(now) +
      sumShares(this.borrowedShares.values(), now) +
      sumShares(this.borrowedRemainders, now) -
      sumShares(this.lentShares, now);
    return share < SHARE_EPSILON ? 0 : share;
  }

  /** Returns the share in use now that lasts until a time, less everything lent. */
  private shareLastingUntil(now: number, until: number): number {
    const selectLasting = (timedShares: Iterable<TimedShare>): TimedShare[] =>
      [...timedShares].filter(timedShare => timedShare.until >= until);
    return (
      sumShares(selectLasting(this.options.ownShares()), now) +
      sumShares(selectLasting(this.borrowedShares.values()), now) +
      sumShares(selectLasting(this.borrowedRemainders), now) -
      sumShares(this.lentShares, now)
    );
  }

  private reservedTokens(): number {
    let sum = 0;
    for (const lent of this.lentTokens.values()) {
      sum += lent.tokens;
    }
    return sum;
  }

  /** Accrues tokens up to a time, in steps within which the shares and reservations are constant. */
  private advance(now: number): void {
    while (this.updatedAt < now) {
      const next = this.nextBoundary(now);
      const seconds = (next - this.updatedAt) / MILLISECONDS_PER_SECOND;
      this.tokens += seconds * this.rate(this.updatedAt);
      this.clampTokens(this.updatedAt);
      this.updatedAt = next;
      this.dropExpired(next);
    }
    this.clampTokens(now);
  }

  private clampTokens(now: number): void {
    const freeCapacity = shareCapacity(this.size, this.shareAt(now)) - this.reservedTokens();
    this.tokens = Math.min(this.tokens, Math.max(0, freeCapacity));
  }

  /** Returns the first time up to `now` at which a share or a reservation starts or ends. */
  private nextBoundary(now: number): number {
    let next = now;
    const consider = (moment: number): void => {
      if (moment > this.updatedAt && moment < next) {
        next = moment;
      }
    };
    for (const timedShare of this.options.ownShares()) {
      consider(timedShare.from);
      consider(timedShare.until);
    }
    for (const timedShare of this.borrowedShares.values()) {
      consider(timedShare.until);
    }
    for (const timedShare of [...this.borrowedRemainders, ...this.lentShares]) {
      consider(timedShare.until);
    }
    for (const lent of this.lentTokens.values()) {
      consider(lent.until);
    }
    return next;
  }

  private dropExpired(now: number): void {
    if (!this.hasLoans && this.borrowedTokens.length === 0) {
      return;
    }
    this.borrowedTokens = this.borrowedTokens.filter(each => each.until > now);
    this.lentShares = this.lentShares.filter(each => each.until > now);
    this.borrowedRemainders = this.borrowedRemainders.filter(each => each.until > now);
    for (const [lender, timedShare] of this.borrowedShares) {
      if (timedShare.until <= now) {
        this.borrowedShares.delete(lender);
      }
    }
    for (const [loanId, lent] of this.lentTokens) {
      if (lent.until <= now) {
        this.lentTokens.delete(loanId);
      }
    }
  }
}

function isEqualSize(left: BucketSize, right: BucketSize): boolean {
  return left.rate === right.rate && left.burst === right.burst;
}

function isActive(timedShare: TimedShare, now: number): boolean {
  return timedShare.from <= now && now < timedShare.until;
}

function sumShares(timedShares: Iterable<TimedShare>, now: number): number {
  let sum = 0;
  for (const timedShare of timedShares) {
    if (isActive(timedShare, now)) {
      sum += timedShare.share;
    }
  }
  return sum;
}
