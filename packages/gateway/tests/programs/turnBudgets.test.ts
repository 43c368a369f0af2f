import type { ProgramId, Result, ZincringError } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { BudgetReservation } from '../../src/programs/turnBudgets.js';

import { StoreTokenAccounts } from '../../src/programs/storeTokenAccounts.js';
import { TurnBudgets } from '../../src/programs/turnBudgets.js';
import { makeRandom } from '../support/makeRandom.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleRoute, sampleTurn } from '../support/samples.js';

type Reserved = Result<BudgetReservation | undefined, ZincringError>;

const BUDGET = 1_725;
const MAXIMUM_TOKENS = 575;

describe(TurnBudgets, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  const signal = new AbortController().signal;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
  });

  function makeInstance(seed = 1): TurnBudgets {
    const dependencies = {
      holder: `entry-${String(seed)}`,
      logger: silentLogger,
      random: makeRandom(seed),
      table: new MonitoredTable(store.client(), timers),
      timers,
    };
    const accounts = new StoreTokenAccounts(dependencies);
    return new TurnBudgets({ ...dependencies, accounts });
  }

  async function finish<Value>(work: Promise<Value>, limitMilliseconds = 5_000): Promise<Value> {
    return await finishWithin(timers, work, limitMilliseconds);
  }

  function isBudgetExhausted(reserved: Reserved): boolean {
    return reserved.err && reserved.val.kind === 'budget-exhausted';
  }

  it('reserves nothing for requests without a budget', async () => {
    const reserved = await makeInstance().reserve(
      sampleTurn('a', { tokenBudget: undefined }),
      signal,
    );
    expect(reserved.ok && reserved.val).toBeUndefined();
    expect(store.calls).toBe(0);
  });

  it('reserves nothing for tool calls', async () => {
    const request = sampleTurn('a', {}, { route: sampleRoute({ kind: 'unsafe' }) });
    expect((await makeInstance().reserve(request, signal)).ok).toBe(true);
    expect(store.calls).toBe(0);
  });

  it('never lets sub-agents at many instances exceed the budget together', async () => {
    const instances = Array.from({ length: 13 }, (_unused, index) => makeInstance(index + 1));
    const started = instances.flatMap((instance, index) => [
      instance.reserve(sampleTurn(`a${String(index)}`), signal),
      instance.reserve(sampleTurn(`b${String(index)}`), signal),
    ]);
    const reserved = await finish(Promise.all(started));
    const granted = reserved.filter(each => each.ok).length;
    expect(granted).toBe(Math.floor(BUDGET / MAXIMUM_TOKENS));
    expect(reserved.filter(isBudgetExhausted)).toHaveLength(reserved.length - granted);
  });

  it('counts the delivered tokens of ended turns, not their maximum', async () => {
    const instance = makeInstance();
    let deliveredTokens = 0;
    for (let turn = 0; turn < 20; turn++) {
      const reserved = await finish(instance.reserve(sampleTurn(`t${String(turn)}`), signal));
      if (reserved.err) {
        break;
      }
      reserved.val?.settle(230);
      deliveredTokens += 230;
    }
    expect(deliveredTokens).toBe(230 * 6);
  });

  it('makes unused tokens available to other instances within a second', async () => {
    const first = makeInstance(1);
    const second = makeInstance(2);
    for (const id of ['a', 'b', 'c']) {
      const reserved = await finish(first.reserve(sampleTurn(id), signal));
      expect(reserved.ok).toBe(true);
      if (reserved.ok) {
        reserved.val?.settle(100);
      }
    }
    await timers.advance(1_000);
    expect((await finish(second.reserve(sampleTurn('d'), signal))).ok).toBe(true);
  });

  it('counts the maximum of turns whose instance crashed', async () => {
    await finish(makeInstance(1).reserve(sampleTurn('a'), signal));
    await finish(makeInstance(2).reserve(sampleTurn('b'), signal));
    await finish(makeInstance(3).reserve(sampleTurn('c'), signal));
    const reserved = await finish(makeInstance(4).reserve(sampleTurn('d'), signal));
    expect(isBudgetExhausted(reserved)).toBe(true);
  });

  it('does not reserve twice when the answer of the store is lost', async () => {
    store.faults.losesAnswers = true;
    const instance = makeInstance();
    const reserving = instance.reserve(sampleTurn('a'), signal);
    await timers.advance(410);
    store.faults.losesAnswers = false;
    expect((await finish(reserving)).ok).toBe(true);
    expect((await finish(instance.reserve(sampleTurn('b'), signal))).ok).toBe(true);
    expect((await finish(instance.reserve(sampleTurn('c'), signal))).ok).toBe(true);
    expect(isBudgetExhausted(await finish(instance.reserve(sampleTurn('d'), signal)))).toBe(true);
  });

  it('refuses immediately with a retry time while the store is unavailable', async () => {
    store.faults.isRefusing = true;
    const reserved = await finish(makeInstance().reserve(sampleTurn('a'), signal), 500);
    expect(reserved.err && reserved.val.kind).toBe('store-unavailable');
    expect(reserved.err && reserved.val.ran).toBe('no');
    expect(reserved.err && reserved.val.retryAfterSeconds).toBeGreaterThan(0);
  });

  it('counts programs of the same name in different workspaces separately', async () => {
    const instance = makeInstance();
    const other = { workspace: 'others' as never };
    for (const id of ['a', 'b', 'c']) {
      await finish(instance.reserve(sampleTurn(id), signal));
    }
    expect((await finish(instance.reserve(sampleTurn('d', {}, other), signal))).ok).toBe(true);
  });

  it('reads the account again before it refuses because of a cached row', async () => {
    const first = makeInstance(1);
    const second = makeInstance(2);
    const firstReservation = await finish(first.reserve(sampleTurn('a'), signal));
    await finish(second.reserve(sampleTurn('b'), signal));
    await finish(second.reserve(sampleTurn('c'), signal));
    if (firstReservation.ok) {
      firstReservation.val?.settle(0);
    }
    await timers.advance(1_000);
    expect((await finish(second.reserve(sampleTurn('d'), signal))).ok).toBe(true);
  });

  it('counts the tokens that a program received before a long pause', async () => {
    const instance = makeInstance();
    const budget = 10_000;
    let deliveredTokens = 0;
    const runTurns = async (from: number, to: number): Promise<void> => {
      for (let turn = from; turn < to; turn++) {
        const request = sampleTurn(`t${String(turn)}`, { tokenBudget: budget });
        const reserved = await finish(instance.reserve(request, signal));
        if (reserved.err) {
          return;
        }
        reserved.val?.settle(MAXIMUM_TOKENS);
        deliveredTokens += MAXIMUM_TOKENS;
      }
    };
    await runTurns(0, 4);
    await timers.advance(30_000);
    await runTurns(4, 40);
    expect(deliveredTokens).toBeGreaterThan(budget / 2);
    expect(deliveredTokens).toBeLessThanOrEqual(budget + MAXIMUM_TOKENS);
  });

  it('counts different programs separately', async () => {
    const instance = makeInstance();
    for (const id of ['a', 'b', 'c']) {
      await finish(instance.reserve(sampleTurn(id), signal));
    }
    const other = sampleTurn('d', { programId: 'program-2' as ProgramId });
    expect((await finish(instance.reserve(other, signal))).ok).toBe(true);
  });

  it('writes nothing more for a program that rests when no tokens are held for it', async () => {
    const instance = makeInstance(1);
    const facts = { tokenBudget: 4 * MAXIMUM_TOKENS };
    for (const id of ['a', 'b', 'c']) {
      const reserved = await finish(instance.reserve(sampleTurn(id, facts), signal));
      expect(reserved.ok).toBe(true);
      if (reserved.ok) {
        reserved.val?.settle(550);
      }
      await timers.advance(100);
    }
    const transactions = 2 * 3;
    expect(store.transactions).toBe(transactions);
    await timers.advance(30_000);
    expect(store.transactions).toBe(transactions);
    const next = makeInstance(2);
    expect((await finish(next.reserve(sampleTurn('d', facts), signal))).ok).toBe(true);
    expect(isBudgetExhausted(await finish(next.reserve(sampleTurn('e', facts), signal)))).toBe(
      true,
    );
  });
});
