import type { Loan, LoanRequest, LoanTerms } from './loan.js';
import type { BucketSize } from './tokenBucket.js';

import { CLOCK_DRIFT_LIMIT, isOtherProcess, lenderMilliseconds, noLoan } from './loan.js';
import { shareCapacity, shareForTokens } from './shareCapacity.js';

/** A share of rate and burst over a span of monotonic time. */
export interface Stake {
  /** Part of the whole, from 0 to 1. */
  readonly share: number;
  /** First moment, in milliseconds. */
  readonly from: number;
  /** First moment that no longer counts, in milliseconds. */
  readonly until: number;
}

/** Tokens that were borrowed and not yet spent. */
interface HeldTokens {
  readonly lender: string;
  readonly loan: number;
  readonly until: number;
  tokens: number;
}

/** Tokens that were lent: their place in the burst stays reserved. */
interface LentTokens {
  readonly borrower: string;
  readonly tokens: number;
  readonly until: number;
}

/** A loan that goes back to its lender. */
export interface ReturnedLoan {
  readonly lender: string;
  readonly loan: number;
  /** Tokens not spent. */
  readonly tokens: number;
}

/** A share that was borrowed. */
interface BorrowedShare extends Stake {
  readonly loan: number;
}

/** A share that was lent. */
interface LentShare extends Stake {
  readonly borrower: string;
  /** Number of the last loan; 0 for the rest of an earlier one. */
  readonly loan: number;
}

/** The answer to a request for a loan. */
export interface LoanAnswer {
  readonly lender: string;
  readonly request: LoanRequest;
  /** Monotonic time before the request was sent. */
  readonly sentAt: number;
  readonly loan: Loan;
}

/** What a workspace's escrow needs. */
export interface WorkspaceEscrowOptions {
  readonly size: BucketSize;
  /** Monotonic time of the beginning; the escrow begins empty. */
  readonly now: number;
  /** Shares that this instance owns by its seats. */
  readonly ownStakes: () => readonly Stake[];
  readonly terms: LoanTerms;
  /** First number of a loan; differs between the processes of an instance. */
  readonly firstLoan: number;
}

/** Rounding errors of sums of shares below this are taken for zero. */
const SHARE_EPSILON = 1e-9;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * What one instance may grant of one workspace's rate: tokens that accrue on the shares it owns or
 * has borrowed, less those that it has lent.
 *
 * The sum over all instances never passes a single bucket: shares in use add up to 1 at most, and
 * so do the rates; tokens together with what is reserved for tokens lent never pass the
 * capacity of the shares; and
 * no change of hands makes a token.
 */
export class WorkspaceEscrow {
  private size: BucketSize;
  private tokens = 0;
  private updatedAt: number;
  private nextLoan: number;
  private held: HeldTokens[] = [];
  private lentShares: LentShare[] = [];
  private readonly borrowedShares = new Map<string, BorrowedShare>();
  /** What an earlier loan gave beyond its renewal, until the earlier loan ends. */
  private borrowedRests: Stake[] = [];
  private readonly lentTokens = new Map<number, LentTokens>();

  public constructor(private readonly options: WorkspaceEscrowOptions) {
    this.size = options.size;
    this.updatedAt = options.now;
    this.nextLoan = options.firstLoan;
  }

  /** Rate and burst of the workspace over the whole fleet. */
  public get limits(): BucketSize {
    return this.size;
  }

  /** Whether any part is lent or borrowed. */
  public get hasLoans(): boolean {
    return this.lentShares.length + this.borrowedShares.size + this.lentTokens.size > 0;
  }

  /** Tokens that can be granted here now, borrowed ones included. */
  public available(now: number): number {
    this.advance(now);
    return this.held.reduce((sum, each) => sum + each.tokens, this.tokens);
  }

  /** Tokens a second that accrue here now. */
  public rate(now: number): number {
    // A clock that runs fast must not make tokens.
    return this.shareAt(now) * this.size.rate * (1 - CLOCK_DRIFT_LIMIT);
  }

  /** Takes one token; the oldest borrowed ones go first. */
  public take(now: number): boolean {
    this.advance(now);
    const loan = this.held.find(each => each.tokens >= 1);
    if (loan !== undefined) {
      loan.tokens -= 1;
      return true;
    }
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Milliseconds until a number of tokens has accrued here; infinite when they cannot. */
  public millisecondsUntil(now: number, tokens: number): number {
    const missing = tokens - this.available(now);
    if (missing <= 0) {
      return 0;
    }
    const rate = this.rate(now);
    const capacity = shareCapacity(this.size, this.shareAt(now));
    if (rate <= 0 || capacity < 1) {
      return Number.POSITIVE_INFINITY;
    }
    const isBlocked = capacity - this.reserved() < 1;
    const blocked = isBlocked ? this.options.terms.tokenMilliseconds : 0;
    return blocked + (missing / rate) * MILLISECONDS_PER_SECOND;
  }

  /**
   * Takes out the loans of tokens that are spent, or that end within a time. They can no longer
   * be used here, so their lenders may be told.
   */
  public returnTokens(now: number, withinMilliseconds: number): readonly ReturnedLoan[] {
    this.advance(now);
    const isOver = (each: HeldTokens): boolean =>
      each.tokens < 1 || each.until - now <= withinMilliseconds;
    const returned = this.held.filter(isOver);
    this.held = this.held.filter(each => !isOver(each));
    return returned;
  }

  /** Gives back every borrowed share with the tokens that belong to it. */
  public returnShares(now: number): readonly ReturnedLoan[] {
    this.advance(now);
    if (this.lentTokens.size > 0) {
      // The shares back tokens lent on; they end by themselves after these.
      return [];
    }
    const total = this.shareAt(now);
    const before = this.tokens;
    const returned = [...this.borrowedShares].map(([lender, { loan, share }]) => ({
      lender,
      loan,
      tokens: total <= 0 ? 0 : before * Math.min(1, share / total),
    }));
    this.borrowedShares.clear();
    this.borrowedRests = [];
    const sum = returned.reduce((all, each) => all + each.tokens, 0);
    this.tokens = Math.max(0, this.tokens - sum);
    this.clamp(now);
    return returned;
  }

  /**
   * Puts another rate and burst in force. Loans under the earlier ones are dropped here, so that
   * no token outlives the values under which it was lent.
   */
  public resize(now: number, size: BucketSize): void {
    if (isSame(size, this.size)) {
      return;
    }
    this.advance(now);
    this.size = size;
    this.held = [];
    this.clamp(now);
  }

  /** Takes in a loan. It counts from before the request was sent. */
  public receive(now: number, answer: LoanAnswer): void {
    this.advance(now);
    const { lender, loan, request, sentAt } = answer;
    const until = sentAt + loan.validMilliseconds;
    if (now >= until) {
      return;
    }
    if (request.kind === 'share' && loan.share > 0) {
      this.receiveShare(now, until, lender, loan);
    }
    const isSameSize = isSame(request.size, this.size);
    if (request.kind === 'tokens' && loan.tokens >= 1 && isSameSize) {
      this.held.push({ lender, loan: loan.loan, tokens: loan.tokens, until });
    }
  }

  /**
   * Takes in a renewal. A smaller one does not cut the earlier loan short: tokens lent on from it
   * rely on its end.
   */
  private receiveShare(now: number, until: number, lender: string, loan: Loan): void {
    const earlier = this.borrowedShares.get(lender);
    if (earlier !== undefined && earlier.share > loan.share) {
      this.borrowedRests.push({ ...earlier, share: earlier.share - loan.share });
    }
    this.borrowedShares.set(lender, {
      from: now,
      loan: loan.loan,
      share: loan.share,
      until: Math.max(until, earlier?.until ?? until),
    });
    this.tokens += loan.tokens;
    this.clamp(now);
  }

  /** Whether the lender of a request has the same rate and burst in force. */
  public isSameSize(size: BucketSize): boolean {
    return isSame(size, this.size);
  }

  /**
   * Lends whole tokens. Their place in the burst stays reserved until the loan has run out, and
   * only shares that outlive the loan back it.
   */
  public lendTokens(now: number, request: LoanRequest): Loan {
    this.advance(now);
    const validMilliseconds = this.options.terms.tokenMilliseconds;
    const until = now + lenderMilliseconds(validMilliseconds);
    const room = shareCapacity(this.size, this.shareUntil(now, until)) - this.reserved();
    const tokens = Math.floor(Math.min(this.tokens, room, request.tokens));
    if (tokens < 1) {
      return noLoan(0);
    }
    const loan = this.nextLoan++;
    this.tokens -= tokens;
    this.lentTokens.set(loan, { borrower: request.borrower, tokens, until });
    return { ...noLoan(0), loan, tokens, validMilliseconds };
  }

  /**
   * Ends the loans of earlier processes of a borrower, which are gone. Tokens that they lent on
   * from borrowed shares may be in use a little longer.
   */
  public endPredecessors(now: number, borrower: string): void {
    const isGone = (lent: { readonly borrower: string }): boolean =>
      isOtherProcess(lent.borrower, borrower);
    if (![...this.lentTokens.values(), ...this.lentShares].some(isGone)) {
      return;
    }
    this.advance(now);
    for (const [loan, lent] of this.lentTokens) {
      if (isGone(lent)) {
        this.lentTokens.delete(loan);
      }
    }
    const end = now + lenderMilliseconds(this.options.terms.tokenMilliseconds);
    this.lentShares = this.lentShares.map(lent =>
      isGone(lent) ? { ...lent, loan: 0, until: Math.min(lent.until, end) } : lent,
    );
  }

  /** Ends loans whose tokens were all spent, so that their places can fill again. */
  public settleSpent(now: number, request: LoanRequest): void {
    this.advance(now);
    for (const loan of request.spentLoans) {
      if (this.lentTokens.get(loan)?.borrower === request.borrower) {
        this.lentTokens.delete(loan);
      }
    }
  }

  /** Ends a loan early; what comes back unspent can be granted again. */
  public settle(now: number, request: LoanRequest): void {
    this.advance(now);
    if (request.loan <= 0) {
      return;
    }
    const lent = this.lentTokens.get(request.loan);
    const share = this.lentShares.find(each => each.loan === request.loan);
    if ((lent ?? share)?.borrower !== request.borrower) {
      return;
    }
    this.lentTokens.delete(request.loan);
    this.lentShares = this.lentShares.filter(each => each !== share);
    const most = lent?.tokens ?? Number.POSITIVE_INFINITY;
    this.tokens += Math.max(0, Math.min(most, request.tokens));
    this.clamp(now);
  }

  /**
   * Lends a share of what this instance owns, with the tokens that belong to it.
   *
   * @param keepShare what this instance needs itself
   */
  public lendShare(now: number, request: LoanRequest, keepShare: number): Loan {
    this.advance(now);
    const { shareMilliseconds } = this.options.terms;
    const validMilliseconds = Math.min(shareMilliseconds, this.ownRemaining(now));
    const earlier = this.lentShares.find(
      each => each.borrower === request.borrower && each.loan > 0,
    );
    const others = this.lentShares.filter(each => each !== earlier);
    const lentToOthers = others.reduce((sum, each) => sum + each.share, 0);
    const backing = shareForTokens(this.size, this.reserved());
    const free = this.ownShare(now) - lentToOthers - Math.max(keepShare, backing);
    if (free <= SHARE_EPSILON || validMilliseconds <= 0) {
      return noLoan(shareMilliseconds);
    }
    const before = this.shareAt(now);
    const added = Math.max(0, free - (earlier?.share ?? 0));
    this.lentShares = others;
    if (earlier !== undefined && earlier.share > free) {
      // The borrower may miss this reply and use its earlier share to the end.
      this.lentShares.push({ ...earlier, loan: 0, share: earlier.share - free });
    }
    const until = Math.max(now + lenderMilliseconds(validMilliseconds), earlier?.until ?? 0);
    const loan = this.nextLoan++;
    const borrower = request.borrower;
    this.lentShares.push({ borrower, from: now, loan, share: free, until });
    const tokens = before <= SHARE_EPSILON ? 0 : this.tokens * Math.min(1, added / before);
    this.tokens -= tokens;
    this.clamp(now);
    return { ...noLoan(0), loan, share: free, tokens, validMilliseconds };
  }

  /** Share that this instance owns and has not lent, now. */
  public ownFreeShare(now: number): number {
    this.advance(now);
    const lent = this.lentShares.reduce((sum, each) => sum + each.share, 0);
    return Math.max(0, this.ownShare(now) - lent);
  }

  private ownShare(now: number): number {
    return sumShares(this.options.ownStakes(), now);
  }

  private ownRemaining(now: number): number {
    const untils = this.options
      .ownStakes()
      .filter(stake => isActive(stake, now))
      .map(stake => stake.until);
    // The lender counts a little longer than the borrower, and both must end within the lease.
    return untils.length === 0 ? 0 : (Math.min(...untils) - now) / lenderMilliseconds(1);
  }

  private shareAt(now: number): number {
    const share =
      this.ownShare(now) +
      sumShares(this.borrowedShares.values(), now) +
      sumShares(this.borrowedRests, now) -
      sumShares(this.lentShares, now);
    return share < SHARE_EPSILON ? 0 : share;
  }

  /** The share in use now that lasts at least to a time, with everything lent taken off. */
  private shareUntil(now: number, until: number): number {
    const lasting = (stakes: Iterable<Stake>): Stake[] =>
      [...stakes].filter(stake => stake.until >= until);
    return (
      sumShares(lasting(this.options.ownStakes()), now) +
      sumShares(lasting(this.borrowedShares.values()), now) +
      sumShares(lasting(this.borrowedRests), now) -
      sumShares(this.lentShares, now)
    );
  }

  private reserved(): number {
    let sum = 0;
    for (const lent of this.lentTokens.values()) {
      sum += lent.tokens;
    }
    return sum;
  }

  private advance(now: number): void {
    while (this.updatedAt < now) {
      const next = this.nextBoundary(now);
      const seconds = (next - this.updatedAt) / MILLISECONDS_PER_SECOND;
      this.tokens += seconds * this.rate(this.updatedAt);
      this.clamp(this.updatedAt);
      this.updatedAt = next;
      this.dropEnded(next);
    }
    this.clamp(now);
  }

  private clamp(now: number): void {
    const room = shareCapacity(this.size, this.shareAt(now)) - this.reserved();
    this.tokens = Math.min(this.tokens, Math.max(0, room));
  }

  /** The first moment up to `now` at which a share or a reservation begins or ends. */
  private nextBoundary(now: number): number {
    let next = now;
    const consider = (moment: number): void => {
      if (moment > this.updatedAt && moment < next) {
        next = moment;
      }
    };
    for (const stake of this.options.ownStakes()) {
      consider(stake.from);
      consider(stake.until);
    }
    for (const stake of this.borrowedShares.values()) {
      consider(stake.until);
    }
    for (const stake of [...this.borrowedRests, ...this.lentShares]) {
      consider(stake.until);
    }
    for (const lent of this.lentTokens.values()) {
      consider(lent.until);
    }
    return next;
  }

  private dropEnded(now: number): void {
    if (!this.hasLoans && this.held.length === 0) {
      return;
    }
    this.held = this.held.filter(each => each.until > now);
    this.lentShares = this.lentShares.filter(each => each.until > now);
    this.borrowedRests = this.borrowedRests.filter(each => each.until > now);
    for (const [lender, stake] of this.borrowedShares) {
      if (stake.until <= now) {
        this.borrowedShares.delete(lender);
      }
    }
    for (const [loan, lent] of this.lentTokens) {
      if (lent.until <= now) {
        this.lentTokens.delete(loan);
      }
    }
  }
}

function isSame(left: BucketSize, right: BucketSize): boolean {
  return left.rate === right.rate && left.burst === right.burst;
}

function isActive(stake: Stake, now: number): boolean {
  return stake.from <= now && now < stake.until;
}

function sumShares(stakes: Iterable<Stake>, now: number): number {
  let sum = 0;
  for (const stake of stakes) {
    if (isActive(stake, now)) {
      sum += stake.share;
    }
  }
  return sum;
}
