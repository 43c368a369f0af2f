/** Tokens that one holder at one instance may hand over. */
export interface BudgetHold {
  readonly tokens: number;
  /** Number of the write that set it, by which its writer recognises a write whose answer was lost. */
  readonly write: number;
}

/** What the store keeps of a program. */
export interface BudgetAccount {
  /** Tokens handed over by turns that have ended. */
  readonly spent: number;
  readonly holds: Readonly<Record<string, BudgetHold>>;
  /** When the row may be removed, by the wall clock, in milliseconds. */
  readonly expiresAt: number;
}

/** A turn that waits for its tokens. */
export interface BudgetDemand {
  /** Tokens that the turn may generate at most. */
  readonly most: number;
  /** Tokens that all turns of the program may generate. */
  readonly budget: number;
}

/** What an instance knows when it asks for tokens. */
export interface BudgetRequest {
  readonly holder: string;
  readonly write: number;
  /** Tokens handed over by turns that ended here and are not yet in the account. */
  readonly ended: number;
  /** The most that turns under way here may hand over. */
  readonly underWay: number;
  readonly waiting: readonly BudgetDemand[];
  /** The demand that further turns are expected to have. */
  readonly usual: BudgetDemand;
  readonly expiresAt: number;
}

/** What the account allows. */
export interface BudgetGrant {
  readonly account: BudgetAccount;
  /** Whether each waiting turn gets its tokens, in their order. */
  readonly isGranted: readonly boolean[];
  /** Tokens held for turns to come. */
  readonly ahead: number;
  /** Whether so much is left that tokens held in vain do no harm. */
  readonly isRelaxed: boolean;
}

/** Turns for which a budget must have room before tokens are held for turns to come: more than start side by side. */
const AMPLE_TURNS = 5;
/** Part of an ample budget that one run of an instance holds for turns to come: a program meets a few instances. */
const AHEAD_SHARE = 0.25;
/** Part of a budget up to which it does not matter for other instances that tokens are held in vain. */
const RELAXED_SHARE = 0.7;

/** The account of a program without turns. */
export const emptyAccount: BudgetAccount = { expiresAt: 0, holds: {}, spent: 0 };

/**
 * Divides what is left of a budget: turns under way at any instance count at their most, so the
 * tokens handed over never pass the budget. While it is ample, the instance also holds tokens for
 * turns to come, which then need no answer of the store.
 *
 * @example
 * const { isGranted } = grantTokens(emptyAccount, request);
 */
export function grantTokens(account: BudgetAccount, request: BudgetRequest): BudgetGrant {
  const { ended, holder, underWay, usual, waiting, write } = request;
  const { [holder]: own, ...others } = account.holds;
  const spent = account.spent + ended;
  let committed = spent + underWay + totalHeld(others);
  let tokens = underWay;
  const isGranted = waiting.map(({ budget, most }) => {
    if (committed + most > budget) {
      return false;
    }
    committed += most;
    tokens += most;
    return true;
  });
  const left = usual.budget - committed;
  const isAmple = left >= AMPLE_TURNS * usual.most;
  const ahead = isAmple ? Math.max(usual.most, Math.floor(left * AHEAD_SHARE)) : 0;
  const hold = { tokens: tokens + ahead, write };
  return {
    account: {
      expiresAt: Math.max(account.expiresAt, request.expiresAt),
      holds: hold.tokens > 0 || own !== undefined ? { ...others, [holder]: hold } : others,
      spent,
    },
    ahead,
    isGranted,
    isRelaxed: committed + ahead <= usual.budget * RELAXED_SHARE,
  };
}

/**
 * Frees what an instance holds for a program that has no turns there any more.
 *
 * @example
 * const released = releaseTokens(account, 'entry-1/7f3a', 253);
 */
export function releaseTokens(
  account: BudgetAccount,
  holder: string,
  ended: number,
): BudgetAccount {
  const holds = Object.entries(account.holds).filter(([name]) => name !== holder);
  return { ...account, holds: Object.fromEntries(holds), spent: account.spent + ended };
}

function totalHeld(holds: Readonly<Record<string, BudgetHold>>): number {
  return Object.values(holds).reduce((sum, { tokens }) => sum + tokens, 0);
}
