import type { BudgetDemand } from './budgetRow.js';

/** Token demand of one turn. */
export interface TurnDemand extends BudgetDemand {
  /** Key of the program, which is also the key of its row. */
  readonly program: string;
  /** Identifies the reservation; unique among all turns of all instances. */
  readonly reservation: string;
  /** Earliest time at which the account may be removed, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
  /** Whether the program has had earlier turns, as far as the prompt shows. */
  readonly hasEarlierTurns: boolean;
}

/** Tokens reserved for one turn. */
export interface HeldTokens {
  readonly kind: 'held';
  /** Whether this is the first turn of the program at any instance. */
  readonly startsProgram: boolean;
  /** Ends the reservation with the number of tokens delivered to the caller. */
  readonly settle: (deliveredTokens: number) => void;
}

/** Decision on a {@link TurnDemand}: `spent` if the budget is used up, `unknown` if the store did not answer. */
export type TokenDecision = HeldTokens | { readonly kind: 'spent' } | { readonly kind: 'unknown' };

/** Token accounts of programs. */
export interface TokenAccounts {
  /** Reserves the maximum number of tokens that a turn may generate. */
  reserve(demand: TurnDemand, signal: AbortSignal): Promise<TokenDecision>;
}

/** Answer of the instance that owns an account: `pending` while it waits for the store. */
export type OwnedTokensReply =
  | { readonly kind: 'held'; readonly startsProgram: boolean }
  | { readonly kind: 'pending' }
  | { readonly kind: 'spent' }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'without-store' };

/** Token accounts that an instance keeps on behalf of others. */
export interface OwnedTokens {
  /** Reserves the tokens of a turn; a repeated call with the same reservation returns the same decision. */
  reserveOwned(demand: TurnDemand): Promise<OwnedTokensReply>;
  /** Ends a reservation; returns whether the owner has recorded it. */
  settleOwned(reservation: string, deliveredTokens: number): Promise<boolean>;
}
