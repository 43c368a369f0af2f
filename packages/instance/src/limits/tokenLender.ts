import type { InstanceId, WorkspaceName } from '@zincring/core';

/** Another instance asks for tokens of a workspace. */
export interface LoanRequest {
  readonly borrower: InstanceId;
  readonly workspace: WorkspaceName;
  /** Tokens wished for. */
  readonly tokens: number;
}

/** What is lent. */
export interface Loan {
  /** Tokens lent, 0 for none. */
  readonly tokens: number;
  /** How long they may be used, counted by the borrower from before its request. */
  readonly validMilliseconds: number;
}

/** Lends tokens to other instances. */
export interface TokenLender {
  lend(request: LoanRequest): Loan;
}

/** Lends nothing. */
export const lendNothing: TokenLender = {
  lend: () => ({ tokens: 0, validMilliseconds: 0 }),
};
