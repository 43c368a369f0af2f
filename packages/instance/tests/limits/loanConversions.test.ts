import type { Loan, LoanKind, LoanRequest } from '@zincring/coordination';

import { create } from '@bufbuild/protobuf';
import { BorrowRequestSchema, BorrowResponseSchema } from '@zincring/protocol';
import { describe, expect, it } from 'vitest';

import {
  loanFromMessage,
  loanRequestFromMessage,
  loanRequestToMessage,
  loanToMessage,
} from '../../src/limits/loanConversions.js';

const kinds: readonly LoanKind[] = ['settle', 'share', 'tokens'];

describe('loan conversions', () => {
  it.each(kinds)('preserve a request of kind %s', kind => {
    const request: LoanRequest = {
      borrower: 'entry-1.abc',
      kind,
      loanId: 2 ** 47 + 3,
      size: { burst: 2.5, rate: 0.5 },
      spentLoans: [1, 2 ** 47],
      tokens: 1.25,
      workspace: 'parks',
    };
    const message = create(BorrowRequestSchema, loanRequestToMessage(request));
    expect(loanRequestFromMessage(message)).toEqual(request);
  });

  it('preserve a loan without rounding up its term', () => {
    const loan: Loan = {
      isGathering: true,
      loanId: 2 ** 47,
      retryMilliseconds: 12.5,
      share: 5 / 64,
      tokens: 0.75,
      validMilliseconds: 499.6,
    };
    const message = create(BorrowResponseSchema, loanToMessage(loan));
    expect(loanFromMessage(message)).toEqual(loan);
  });
});
