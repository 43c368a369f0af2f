import type { Loan, LoanRequest } from '@zincring/coordination';

import { noLoan } from '@zincring/coordination';

/** Lends shares of workspaces' rates to other instances. */
export interface TokenLender {
  lend(request: LoanRequest): Loan;
}

/** Delay before a refused borrower may request a loan again, in milliseconds. */
const REFUSAL_RETRY_MILLISECONDS = 60_000;

/** Refuses every loan request. */
export const refusingTokenLender: TokenLender = {
  lend: () => noLoan(REFUSAL_RETRY_MILLISECONDS),
};
