import type { Loan, LoanRequest } from '@zincring/coordination';

import { noLoan } from '@zincring/coordination';

/** Lends parts of workspaces' rates to other instances. */
export interface TokenLender {
  lend(request: LoanRequest): Loan;
}

const NEVER_MILLISECONDS = 60_000;

/** Lends nothing. */
export const lendNothing: TokenLender = {
  lend: () => noLoan(NEVER_MILLISECONDS),
};
