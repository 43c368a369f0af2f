/** Tokens reserved by one holder: one program budget object of one instance. */
export interface HolderReservation {
  readonly tokens: number;
  /** Number of the write that set the reservation; its writer recognises by it a write whose answer was lost. */
  readonly write: number;
}

/** Token account of a program, as it is stored. */
export interface BudgetAccount {
  /** Tokens that ended turns delivered to their callers. */
  readonly spent: number;
  /** Current reservations by the name of their holder. */
  readonly holds: Readonly<Record<string, HolderReservation>>;
  /** Earliest time at which the row may be removed, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
}

/** Token demand of one turn. */
export interface BudgetDemand {
  /** Maximum number of tokens that the turn may generate. */
  readonly maximumTokens: number;
  /** Maximum number of tokens that all turns of the program may generate together. */
  readonly budget: number;
}

/** Request of a holder for tokens, with what it knows that the account does not contain yet. */
export interface BudgetRequest {
  readonly holder: string;
  readonly write: number;
  /** Tokens delivered by turns that ended at this holder and that are not yet in the account. */
  readonly settledTokens: number;
  /** Maximum number of tokens that turns in flight at this holder may deliver. */
  readonly inFlightTokens: number;
  readonly waitingDemands: readonly BudgetDemand[];
  /** Expected demand of further turns. */
  readonly expectedDemand: BudgetDemand;
  /** Maximum number of tokens that may be reserved in advance; 0 if the holder is about to stop. */
  readonly maximumAdvanceTokens: number;
  readonly expiresAt: number;
}

/** Result of a {@link BudgetRequest}. */
export interface BudgetGrant {
  readonly account: BudgetAccount;
  /** Whether each waiting demand is granted, in the order of the demands. */
  readonly isGranted: readonly boolean[];
  /** Tokens reserved in advance for later turns. */
  readonly advanceTokens: number;
  /** Whether so much of the budget is left that unused reserved tokens need not be released. */
  readonly mayKeepUnused: boolean;
}

/** Turns for which a budget must have room before tokens are reserved in advance: more than start at the same time. */
const MINIMUM_TURNS_FOR_ADVANCE = 5;
/** Share of the remaining budget that one holder reserves in advance: a program uses only a few instances. */
const ADVANCE_SHARE = 0.25;
/** Share of a budget up to which unused reservations of one instance do not restrict the others. */
const KEEP_UNUSED_SHARE = 0.7;

/** Account of a program that has had no turn. */
export const emptyAccount: BudgetAccount = { expiresAt: 0, holds: {}, spent: 0 };

/**
 * Grants tokens from the remainder of a budget. Turns in flight at any instance count with their
 * maximum, so that the delivered tokens never exceed the budget. While the remainder is large, the
 * holder also reserves tokens in advance, so that its next turns need no call to the store.
 *
 * @example
 * const { isGranted } = grantTokens(emptyAccount, request);
 */
export function grantTokens(account: BudgetAccount, request: BudgetRequest): BudgetGrant {
  const { settledTokens, holder, inFlightTokens, expectedDemand, waitingDemands, write } = request;
  const { [holder]: ownReservation, ...otherHolds } = account.holds;
  const spent = account.spent + settledTokens;
  let committed = spent + inFlightTokens + sumReserved(otherHolds);
  let tokens = inFlightTokens;
  const isGranted = waitingDemands.map(({ budget, maximumTokens }) => {
    if (committed + maximumTokens > budget) {
      return false;
    }
    committed += maximumTokens;
    tokens += maximumTokens;
    return true;
  });
  const remainingTokens = expectedDemand.budget - committed;
  const advanceTokens = Math.min(
    request.maximumAdvanceTokens,
    computeAdvanceTokens(remainingTokens, expectedDemand.maximumTokens),
  );
  const reservation = { tokens: tokens + advanceTokens, write };
  return {
    account: {
      expiresAt: Math.max(account.expiresAt, request.expiresAt),
      holds:
        reservation.tokens > 0 || ownReservation !== undefined
          ? { ...otherHolds, [holder]: reservation }
          : otherHolds,
      spent,
    },
    advanceTokens,
    isGranted,
    mayKeepUnused: committed + advanceTokens <= expectedDemand.budget * KEEP_UNUSED_SHARE,
  };
}

function computeAdvanceTokens(remainingTokens: number, maximumTokens: number): number {
  const isAmple = remainingTokens >= MINIMUM_TURNS_FOR_ADVANCE * maximumTokens;
  return isAmple ? Math.max(maximumTokens, Math.floor(remainingTokens * ADVANCE_SHARE)) : 0;
}

/**
 * Removes the reservation of a holder and adds the tokens of its ended turns to the account.
 *
 * @example
 * const released = releaseTokens(account, 'entry-1/7f3a', 253);
 */
export function releaseTokens(
  account: BudgetAccount,
  holder: string,
  settledTokens: number,
): BudgetAccount {
  const holds = Object.entries(account.holds).filter(([name]) => name !== holder);
  return { ...account, holds: Object.fromEntries(holds), spent: account.spent + settledTokens };
}

function sumReserved(holds: Readonly<Record<string, HolderReservation>>): number {
  return Object.values(holds).reduce((sum, { tokens }) => sum + tokens, 0);
}
