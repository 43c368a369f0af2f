import type { CallId } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import { TokenBudget } from '../../src/programs/tokenBudget.js';

const one = 'one' as CallId;
const two = 'two' as CallId;

function createBudget(limit: number, allowance: number): TokenBudget {
  const budget = new TokenBudget(limit);
  budget.grant(allowance);
  budget.confirm(allowance);
  return budget;
}

describe('a token budget', () => {
  it.each([
    { allowance: 100, outcome: 'reserved', tokens: 100 },
    { allowance: 100, outcome: 'exhausted', tokens: 101 },
    { allowance: 50, outcome: 'beyond-allowance', tokens: 51 },
  ])(
    'a reservation of $tokens tokens of 100 with an allowance of $allowance is $outcome',
    testCase => {
      expect(createBudget(100, testCase.allowance).reserve(one, testCase.tokens)).toBe(
        testCase.outcome,
      );
    },
  );

  it('counts the reservations of concurrent calls', () => {
    const budget = createBudget(100, 100);
    expect(budget.reserve(one, 60)).toBe('reserved');
    expect(budget.reserve(two, 60)).toBe('exhausted');
    budget.release(one);
    budget.spend(30);
    expect(budget.reserve(two, 60)).toBe('reserved');
  });

  it('has no tokens left when an engine reports more tokens than its call reserved', () => {
    const budget = createBudget(100, 100);
    budget.reserve(one, 90);
    budget.spend(130);
    budget.release(one);
    expect(budget.left).toBe(0);
    expect(budget.reserve(two, 1)).toBe('exhausted');
  });

  it.each([
    { isHandedOver: true, left: 70 },
    { isHandedOver: false, left: 50 },
  ])('leaves $left to the next holder, handed over: $isHandedOver', ({ isHandedOver, left }) => {
    const budget = createBudget(100, 50);
    budget.spend(30);
    const next = new TokenBudget(100);
    next.restore(budget.toSnapshot(isHandedOver));
    next.startUnderNewHolder();
    expect(next.left).toBe(left);
  });
});
