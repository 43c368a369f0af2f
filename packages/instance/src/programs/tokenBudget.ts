import type { CallId } from '@zincring/core';

/** The share of what is left that is reserved in the log ahead of use. */
const AHEAD_SHARE = 8;

/** The tokens of a budget as snapshots keep them. */
export interface TokenBudgetSnapshot {
  readonly settled: number;
  readonly allowance: number;
}

/** The allowance with which a program of some tokens is opened. */
export function openingAllowance(tokens: number): number {
  return Math.ceil(tokens / AHEAD_SHARE);
}

/** How a reservation ended. */
export type ReservationOutcome = 'beyond-allowance' | 'exhausted' | 'reserved';

/**
 * The tokens of one program. What runs reserves its upper bound first, so that calls side by side
 * never pass the limit together. Only what the log allows may be spent: a new holder counts the
 * whole allowance of the earlier one as spent, since it cannot know what ran there.
 */
export class TokenBudget {
  private settled = 0;
  private granted = 0;
  private durable = 0;
  private readonly reservations = new Map<CallId, number>();

  public constructor(private readonly limit: number) {}

  /** Tokens that may still be reserved. */
  public get left(): number {
    return Math.max(0, this.limit - this.settled - this.reserved);
  }

  /** Tokens settled so far. */
  public get used(): number {
    return this.settled;
  }

  /** The allowance that a record should carry which settles a call, or none. */
  public allowanceAfter(call: CallId | undefined, usedTokens: number): number {
    const own = call === undefined ? 0 : this.reservedFor(call);
    const spoken = this.settled + this.reserved - own + usedTokens;
    const ahead = Math.ceil(Math.max(0, this.limit - spoken) / AHEAD_SHARE);
    return Math.max(this.granted, Math.min(this.limit, spoken + ahead));
  }

  /** The allowance that a reservation of some tokens needs. */
  public allowanceFor(tokens: number): number {
    return Math.max(this.allowanceAfter(undefined, 0), this.settled + this.reserved + tokens);
  }

  /** Reserves tokens for a call if budget and durable allowance have them. */
  public reserve(call: CallId, tokens: number): ReservationOutcome {
    if (tokens > this.left) {
      return 'exhausted';
    }
    if (this.settled + this.reserved + tokens > this.durable) {
      return 'beyond-allowance';
    }
    this.reservations.set(call, tokens);
    return 'reserved';
  }

  /** Tokens reserved for a call. */
  public reservedFor(call: CallId): number {
    return this.reservations.get(call) ?? 0;
  }

  /** Gives a reservation back. */
  public release(call: CallId): void {
    this.reservations.delete(call);
  }

  /** Counts tokens as used. */
  public spend(tokens: number): void {
    this.settled += tokens;
  }

  /** Takes over the sum of what has been used. */
  public spendUpTo(tokens: number): void {
    this.settled = Math.max(this.settled, tokens);
  }

  /** Notes an allowance that a record carries. */
  public grant(allowance: number): void {
    this.granted = Math.max(this.granted, allowance);
  }

  /** Notes that an allowance is durable. */
  public confirm(allowance: number): void {
    this.durable = Math.max(this.durable, allowance);
  }

  /** Counts all that an earlier holder was allowed as spent, and reserves ahead anew. */
  public startUnderNewHolder(): void {
    this.settled = Math.max(this.settled, this.granted);
    this.granted = this.allowanceAfter(undefined, 0);
    this.durable = this.granted;
  }

  /**
   * The form that snapshots keep.
   *
   * @param isHandedOver whether nothing runs and this holder will spend no more
   */
  public toSnapshot(isHandedOver: boolean): TokenBudgetSnapshot {
    return { allowance: isHandedOver ? this.settled : this.granted, settled: this.settled };
  }

  /** Restores what a snapshot keeps. */
  public restore(snapshot: TokenBudgetSnapshot): void {
    this.settled = snapshot.settled;
    this.granted = snapshot.allowance;
  }

  private get reserved(): number {
    let sum = 0;
    for (const tokens of this.reservations.values()) {
      sum += tokens;
    }
    return sum;
  }
}
