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
  ])('$outcome: $tokens of 100, of which $allowance are allowed', each => {
    expect(createBudget(100, each.allowance).reserve(one, each.tokens)).toBe(each.outcome);
  });

  it('counts calls side by side before they are settled', () => {
    const budget = createBudget(100, 100);
    expect(budget.reserve(one, 60)).toBe('reserved');
    expect(budget.reserve(two, 60)).toBe('exhausted');
    budget.release(one);
    budget.spend(30);
    expect(budget.reserve(two, 60)).toBe('reserved');
  });

  it('has nothing left when an engine reports more than the bound of its call', () => {
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
