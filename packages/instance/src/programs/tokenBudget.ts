import type { CallId } from '@zincring/core';

/** Divisor of the remaining tokens: 1/8 of them is allowed in the log ahead of use. */
const ADVANCE_SHARE_DIVISOR = 8;

/** Token budget, as snapshots store it. */
export interface TokenBudgetSnapshot {
  /** Tokens counted as used. */
  readonly settled: number;
  /** Total tokens of the program that the holder may have spent. */
  readonly allowance: number;
}

/** Computes the allowance with which a program is opened from its maximum number of tokens. */
export function computeOpeningAllowance(tokens: number): number {
  return Math.ceil(tokens / ADVANCE_SHARE_DIVISOR);
}

/** Outcome of a reservation. */
export type ReservationOutcome = 'beyond-allowance' | 'exhausted' | 'reserved';

/**
 * Token budget of one program. A call reserves the maximum number of tokens that it can use before
 * it runs, so that concurrent calls never exceed the limit together. Only the allowance in the log
 * may be spent: a new holder counts the complete allowance of the earlier one as spent, since it
 * cannot know which calls ran there.
 */
export class TokenBudget {
  private settled = 0;
  private grantedAllowance = 0;
  private durableAllowance = 0;
  private readonly reservations = new Map<CallId, number>();

  public constructor(private readonly limit: number) {}

  /** Number of tokens that may still be reserved. */
  public get left(): number {
    return Math.max(0, this.limit - this.settled - this.reservedTokens);
  }

  /** Number of tokens counted as used. */
  public get used(): number {
    return this.settled;
  }

  /**
   * Computes the allowance to write to the log with a record.
   *
   * @param call call whose reservation the record replaces by `usedTokens`; `undefined` for none
   * @param usedTokens tokens that the record counts as used
   */
  public computeAllowanceAfter(call: CallId | undefined, usedTokens: number): number {
    const ownReservation = call === undefined ? 0 : this.getReservedTokens(call);
    const committedTokens = this.settled + this.reservedTokens - ownReservation + usedTokens;
    const advanceTokens = Math.ceil(
      Math.max(0, this.limit - committedTokens) / ADVANCE_SHARE_DIVISOR,
    );
    return Math.max(this.grantedAllowance, Math.min(this.limit, committedTokens + advanceTokens));
  }

  /** Computes the allowance that must be durable before the given tokens can be reserved. */
  public computeAllowanceFor(tokens: number): number {
    return Math.max(
      this.computeAllowanceAfter(undefined, 0),
      this.settled + this.reservedTokens + tokens,
    );
  }

  /** Reserves tokens for a call if the limit and the durable allowance permit it. */
  public reserve(call: CallId, tokens: number): ReservationOutcome {
    if (tokens > this.left) {
      return 'exhausted';
    }
    if (this.settled + this.reservedTokens + tokens > this.durableAllowance) {
      return 'beyond-allowance';
    }
    this.reservations.set(call, tokens);
    return 'reserved';
  }

  /** Returns the number of tokens reserved for a call. */
  public getReservedTokens(call: CallId): number {
    return this.reservations.get(call) ?? 0;
  }

  /** Releases the reservation of a call. */
  public release(call: CallId): void {
    this.reservations.delete(call);
  }

  /** Counts tokens as used. */
  public spend(tokens: number): void {
    this.settled += tokens;
  }

  /** Raises the number of used tokens to a total. */
  public raiseUsedTo(tokens: number): void {
    this.settled = Math.max(this.settled, tokens);
  }

  /** Records an allowance that was written to the log; it may not be durable yet. */
  public grant(allowance: number): void {
    this.grantedAllowance = Math.max(this.grantedAllowance, allowance);
  }

  /** Records that an allowance is durable. */
  public confirm(allowance: number): void {
    this.durableAllowance = Math.max(this.durableAllowance, allowance);
  }

  /** Counts the complete allowance of the earlier holder as spent and sets a new allowance. */
  public startUnderNewHolder(): void {
    this.settled = Math.max(this.settled, this.grantedAllowance);
    this.grantedAllowance = this.computeAllowanceAfter(undefined, 0);
    this.durableAllowance = this.grantedAllowance;
  }

  /**
   * Creates the form that snapshots store.
   *
   * @param isHandedOver whether no call is running and this holder will spend no more
   */
  public toSnapshot(isHandedOver: boolean): TokenBudgetSnapshot {
    return {
      allowance: isHandedOver ? this.settled : this.grantedAllowance,
      settled: this.settled,
    };
  }

  /** Restores the state from a snapshot. */
  public restore(snapshot: TokenBudgetSnapshot): void {
    this.settled = snapshot.settled;
    this.grantedAllowance = snapshot.allowance;
  }

  private get reservedTokens(): number {
    let sum = 0;
    for (const tokens of this.reservations.values()) {
      sum += tokens;
    }
    return sum;
  }
}
