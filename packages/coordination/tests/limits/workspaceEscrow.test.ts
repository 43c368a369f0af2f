import { describe, expect, it } from 'vitest';

import type { LoanKind, LoanRequest, TimedShare } from '@zincring/coordination';

import { WorkspaceEscrow } from '@zincring/coordination';

const terms = { renewMilliseconds: 1_000, shareMilliseconds: 4_000, tokenMilliseconds: 500 };
const size = { burst: 10, rate: 10 };
const alwaysValid = { from: 0, until: 1e9 };

function createEscrow(ownShares: readonly TimedShare[], limits = size): WorkspaceEscrow {
  return new WorkspaceEscrow({
    firstLoanId: 1,
    now: 0,
    ownShares: () => ownShares,
    size: limits,
    terms,
  });
}

function createRequest(kind: LoanKind, tokens = 0, loanId = 0): LoanRequest {
  return { borrower: 'b.1', kind, loanId, size, spentLoans: [], tokens, workspace: 'w' };
}

describe('WorkspaceEscrow', () => {
  it.each([
    {
      name: 'no tokens before its share starts',
      now: 900,
      timedShare: { from: 1_000, until: 1e9 },
      tokens: 0,
    },
    {
      name: 'the tokens accrued since its share started',
      now: 1_500,
      timedShare: { from: 1_000, until: 1e9 },
      tokens: 2.5,
    },
    {
      name: 'at most its share of the burst',
      now: 9_000,
      timedShare: { from: 0, until: 1e9 },
      tokens: 5,
    },
    {
      name: 'no tokens once its share has ended',
      now: 9_000,
      timedShare: { from: 0, until: 9_000 },
      tokens: 0,
    },
  ])('holds $name', ({ now, timedShare, tokens }) => {
    const escrow = createEscrow([{ ...timedShare, share: 0.5 }]);
    expect(escrow.available(now)).toBeCloseTo(tokens, 1);
  });

  it('reserves capacity for lent tokens until the loan ends', () => {
    const escrow = createEscrow([{ ...alwaysValid, share: 1 }]);
    expect(escrow.lendTokens(2_000, createRequest('tokens', 4)).tokens).toBe(4);
    expect(escrow.available(2_500)).toBe(6);
    expect(escrow.available(4_000)).toBe(10);
  });

  it('releases the reserved capacity only once when a loan is settled twice', () => {
    const escrow = createEscrow([{ ...alwaysValid, share: 1 }]);
    const { loanId: loan } = escrow.lendTokens(2_000, createRequest('tokens', 4));
    escrow.settle(2_000, createRequest('settle', 3, loan));
    escrow.settle(2_000, createRequest('settle', 3, loan));
    expect(escrow.available(2_000)).toBe(9);
  });

  it('lends a share with its tokens and has neither until the loan ends', () => {
    const lender = createEscrow([{ ...alwaysValid, share: 0.5 }]);
    const borrower = createEscrow([{ ...alwaysValid, share: 0.5 }]);
    const request = createRequest('share');
    const loan = lender.lendShare(2_000, request, 0);
    borrower.receive(2_000, { lender: 'a', loan, request, sentAt: 1_900 });
    expect([loan.share, loan.tokens]).toEqual([0.5, 5]);
    expect([lender.available(5_000), borrower.available(5_000)]).toEqual([0, 10]);
    expect(borrower.available(5_900)).toBe(5);
    expect(lender.available(6_030)).toBe(0);
  });

  it('counts the validity of a loan from before the request was sent', () => {
    const lender = createEscrow([{ ...alwaysValid, share: 1 }]);
    const borrower = createEscrow([]);
    const request = createRequest('tokens', 2);
    const loan = lender.lendTokens(2_000, request);
    borrower.receive(2_600, { lender: 'a', loan, request, sentAt: 1_990 });
    expect(borrower.available(2_600)).toBe(0);
  });

  it('keeps borrowed shares while they back lent tokens', () => {
    const lender = createEscrow([{ ...alwaysValid, share: 0.9 }]);
    const home = createEscrow([{ ...alwaysValid, share: 0.1 }]);
    const request = createRequest('share');
    home.receive(2_000, {
      lender: 'a',
      loan: lender.lendShare(2_000, request, 0),
      request,
      sentAt: 2_000,
    });
    expect(home.lendTokens(2_000, createRequest('tokens', 8)).tokens).toBe(8);
    expect(home.returnShares(2_100)).toEqual([]);
    expect(home.returnShares(2_600)).toHaveLength(1);
  });

  it('drops tokens borrowed under another rate and burst', () => {
    const lender = createEscrow([{ ...alwaysValid, share: 1 }]);
    const borrower = createEscrow([]);
    const request = createRequest('tokens', 2);
    const loan = lender.lendTokens(2_000, request);
    borrower.receive(2_000, { lender: 'a', loan, request, sentAt: 2_000 });
    expect(borrower.available(2_001)).toBe(2);
    borrower.resize(2_002, { burst: 5, rate: 5 });
    expect(borrower.available(2_002)).toBe(0);
    borrower.receive(2_003, { lender: 'a', loan, request, sentAt: 2_000 });
    expect(borrower.available(2_003)).toBe(0);
  });

  it('gives an indivisible burst to the holder of more than half of the shares', () => {
    const smallSize = { burst: 1, rate: 1 };
    expect(createEscrow([{ ...alwaysValid, share: 0.6 }], smallSize).tryAcquire(3_000)).toBe(true);
    expect(createEscrow([{ ...alwaysValid, share: 0.4 }], smallSize).available(3_000)).toBe(0);
  });
});
