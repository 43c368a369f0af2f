import type { BudgetAccount } from './budgetRow.js';

import { isNumber, toFields } from '../util/jsonFields.js';
import { emptyAccount } from './budgetRow.js';

/**
 * Reads a stored account; an absent row is the account of a program that has had no turn. Throws if the row holds
 * none, since a guess could exceed the budget.
 *
 * @example
 * decodeAccount(row.value).spent; // 253
 */
export function decodeAccount(value: Buffer | undefined): BudgetAccount {
  if (value === undefined) {
    return emptyAccount;
  }
  const account: unknown = JSON.parse(value.toString());
  const { expiresAt, holds, spent } = toFields(account);
  const reserved = Object.values(toFields(holds)).map(hold => toFields(hold)['tokens']);
  if (
    !isNumber(spent) ||
    !isNumber(expiresAt) ||
    holds === undefined ||
    !reserved.every(isNumber)
  ) {
    throw new TypeError('the row holds no account');
  }
  return account as BudgetAccount;
}

/**
 * Encodes an account as the value of its row.
 *
 * @example
 * encodeAccount({ expiresAt: 1_700_000_132_000, holds: {}, spent: 253 });
 */
export function encodeAccount(account: BudgetAccount): Buffer {
  return Buffer.from(JSON.stringify(account));
}
