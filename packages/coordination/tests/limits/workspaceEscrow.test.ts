import { describe, expect, it } from 'vitest';

import type { LoanKind, LoanRequest, Stake } from '@zincring/coordination';

import { WorkspaceEscrow } from '@zincring/coordination';

const terms = { renewMilliseconds: 1_000, shareMilliseconds: 4_000, tokenMilliseconds: 500 };
const size = { burst: 10, rate: 10 };
const forever = { from: 0, until: 1e9 };

function createEscrow(stakes: readonly Stake[], limits = size): WorkspaceEscrow {
  return new WorkspaceEscrow({
    firstLoan: 1,
    now: 0,
    ownStakes: () => stakes,
    size: limits,
    terms,
  });
}

function ask(kind: LoanKind, tokens = 0, loan = 0): LoanRequest {
  return { borrower: 'b.1', kind, loan, size, spentLoans: [], tokens, workspace: 'w' };
}

describe('the escrow of a workspace', () => {
  it.each([
    {
      name: 'nothing before a seat counts',
      now: 900,
      stake: { from: 1_000, until: 1e9 },
      tokens: 0,
    },
    { name: 'what accrued since', now: 1_500, stake: { from: 1_000, until: 1e9 }, tokens: 2.5 },
    {
      name: 'at most its part of the burst',
      now: 9_000,
      stake: { from: 0, until: 1e9 },
      tokens: 5,
    },
    {
      name: 'nothing once the lease has lapsed',
      now: 9_000,
      stake: { from: 0, until: 9_000 },
      tokens: 0,
    },
  ])('holds $name', ({ now, stake, tokens }) => {
    const escrow = createEscrow([{ ...stake, share: 0.5 }]);
    expect(escrow.available(now)).toBeCloseTo(tokens, 1);
  });

  it('keeps the place of lent tokens until the loan has run out', () => {
    const escrow = createEscrow([{ ...forever, share: 1 }]);
    expect(escrow.lendTokens(2_000, ask('tokens', 4)).tokens).toBe(4);
    expect(escrow.available(2_500)).toBe(6);
    expect(escrow.available(4_000)).toBe(10);
  });

  it('gives the place back when the loan is settled, once', () => {
    const escrow = createEscrow([{ ...forever, share: 1 }]);
    const { loan } = escrow.lendTokens(2_000, ask('tokens', 4));
    escrow.settle(2_000, ask('settle', 3, loan));
    escrow.settle(2_000, ask('settle', 3, loan));
    expect(escrow.available(2_000)).toBe(9);
  });

  it('lends a share with its tokens and has neither until the loan ends', () => {
    const lender = createEscrow([{ ...forever, share: 0.5 }]);
    const borrower = createEscrow([{ ...forever, share: 0.5 }]);
    const request = ask('share');
    const loan = lender.lendShare(2_000, request, 0);
    borrower.receive(2_000, { lender: 'a', loan, request, sentAt: 1_900 });
    expect([loan.share, loan.tokens]).toEqual([0.5, 5]);
    expect([lender.available(5_000), borrower.available(5_000)]).toEqual([0, 10]);
    expect(borrower.available(5_900)).toBe(5);
    expect(lender.available(6_030)).toBe(0);
  });

  it('counts a loan from before the request', () => {
    const lender = createEscrow([{ ...forever, share: 1 }]);
    const borrower = createEscrow([]);
    const request = ask('tokens', 2);
    const loan = lender.lendTokens(2_000, request);
    borrower.receive(2_600, { lender: 'a', loan, request, sentAt: 1_990 });
    expect(borrower.available(2_600)).toBe(0);
  });

  it('keeps borrowed shares as long as they back tokens lent on', () => {
    const lender = createEscrow([{ ...forever, share: 0.9 }]);
    const home = createEscrow([{ ...forever, share: 0.1 }]);
    const request = ask('share');
    home.receive(2_000, {
      lender: 'a',
      loan: lender.lendShare(2_000, request, 0),
      request,
      sentAt: 2_000,
    });
    expect(home.lendTokens(2_000, ask('tokens', 8)).tokens).toBe(8);
    expect(home.returnShares(2_100)).toEqual([]);
    expect(home.returnShares(2_600)).toHaveLength(1);
  });

  it('drops loans made under another rate and burst', () => {
    const lender = createEscrow([{ ...forever, share: 1 }]);
    const borrower = createEscrow([]);
    const request = ask('tokens', 2);
    const loan = lender.lendTokens(2_000, request);
    borrower.receive(2_000, { lender: 'a', loan, request, sentAt: 2_000 });
    expect(borrower.available(2_001)).toBe(2);
    borrower.resize(2_002, { burst: 5, rate: 5 });
    expect(borrower.available(2_002)).toBe(0);
    borrower.receive(2_003, { lender: 'a', loan, request, sentAt: 2_000 });
    expect(borrower.available(2_003)).toBe(0);
  });

  it('leaves a burst of few tokens whole to whoever has more than half of the shares', () => {
    const few = { burst: 1, rate: 1 };
    expect(createEscrow([{ ...forever, share: 0.6 }], few).take(3_000)).toBe(true);
    expect(createEscrow([{ ...forever, share: 0.4 }], few).available(3_000)).toBe(0);
  });
});
