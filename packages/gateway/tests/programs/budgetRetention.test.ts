import type { ProgramId } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import {
  BUDGET_TABLE,
  StoreTokenAccounts,
  sweptBudgets,
} from '../../src/programs/storeTokenAccounts.js';
import { TurnBudgets } from '../../src/programs/turnBudgets.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleRoute, sampleTurn } from '../support/samples.js';
import { sweepAll } from '../support/sweepAll.js';

const BUDGET = 100_000;
/** Maximum number of tokens of one turn, and those that a turn generates while its program is slow. */
const MAXIMUM_TOKENS = 500;
const SLOW_TOKENS = 100;
const RETENTION_MILLISECONDS = 60_000;
/** Time for which sweepers keep an expired row, in milliseconds. */
const CLOCK_MARGIN_MILLISECONDS = 10_000;
/** Time after the last turn by which the row of an account is removed, in milliseconds. */
const LIFETIME_MILLISECONDS = 3 * RETENTION_MILLISECONDS;

describe('the account of a program that goes on for longer than the lifetime of its row', () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let startedAccounts: StoreTokenAccounts[];
  let turns: number;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    startedAccounts = [];
    turns = 0;
  });

  function start(client: PartitionedTable = store.client()): TurnBudgets {
    const dependencies = {
      holder: `entry-${String(startedAccounts.length)}`,
      logger: silentLogger,
      random: () => 0.5,
      table: new MonitoredTable(client, timers),
      timers,
    };
    const accounts = new StoreTokenAccounts(dependencies);
    startedAccounts.push(accounts);
    return new TurnBudgets({ ...dependencies, accounts });
  }

  /** Runs a turn; returns the tokens that it delivers, or the kind of its refusal. */
  async function runTurn(
    instance: TurnBudgets,
    {
      budget = BUDGET,
      delivered = SLOW_TOKENS,
      most = MAXIMUM_TOKENS,
      retention = RETENTION_MILLISECONDS,
    } = {},
  ): Promise<number | string> {
    const request = sampleTurn(
      `turn-${String(turns++)}`,
      {
        maximumOutputTokens: most,
        programId: 'program-1' as ProgramId,
        tokenBudget: budget,
      },
      { route: sampleRoute({ retentionMilliseconds: retention }) },
    );
    const { signal } = new AbortController();
    const reserved = await finishWithin(timers, instance.reserve(request, signal), 5_000);
    if (reserved.err) {
      return reserved.val.kind;
    }
    reserved.val?.settle(delivered);
    return delivered;
  }

  /** Runs turns until one is refused; returns the tokens that they deliver. */
  async function spendAll(instance: TurnBudgets, budget = BUDGET): Promise<number> {
    let tokens = 0;
    for (;;) {
      const delivered = await runTurn(instance, { budget, delivered: MAXIMUM_TOKENS });
      if (typeof delivered === 'string') {
        expect(delivered).toBe('budget-exhausted');
        return tokens;
      }
      tokens += delivered;
    }
  }

  async function pauseAndSweep(milliseconds: number): Promise<void> {
    await timers.advance(milliseconds);
    await sweepAll(store, timers, sweptBudgets);
  }

  // Guards against: a program that went on with tokens reserved in advance was handed its budget once more after a restart.
  it.each([
    { pause: 5_000, retention: 30_000 },
    { pause: 10_000, retention: 30_000 },
    { pause: 10_000, retention: RETENTION_MILLISECONDS },
    { pause: 55_000, retention: RETENTION_MILLISECONDS },
  ])('outlives a restart of all instances ($pause, $retention)', async ({ pause, retention }) => {
    const instance = start();
    let tokens = 0;
    for (let turn = 0; turn * pause < 4 * LIFETIME_MILLISECONDS; turn++) {
      tokens += Number(await runTurn(instance, { retention }));
      await pauseAndSweep(pause);
      expect(store.list(BUDGET_TABLE)).toHaveLength(1);
    }
    tokens += await spendAll(start());
    expect(tokens).toBeGreaterThan(BUDGET / 2);
    expect(tokens).toBeLessThanOrEqual(BUDGET + MAXIMUM_TOKENS);
  });

  // Guards against: the same where each turn reaches another instance after the one before has discarded the program.
  it('outlives turns at several instances', async () => {
    const instances = [start(), start(), start()];
    let tokens = 0;
    for (let turn = 0; turn < 20; turn++) {
      tokens += Number(await runTurn(instances[turn % instances.length]!));
      await pauseAndSweep(25_000);
    }
    tokens += await spendAll(start());
    expect(tokens).toBeLessThanOrEqual(BUDGET + MAXIMUM_TOKENS);
  });

  // Guards against: a stopped program that came back again and again was handed its budget once more when the row had expired.
  it('outlives a program that comes back although it is refused', async () => {
    const budget = 3 * MAXIMUM_TOKENS;
    let tokens = await spendAll(start(), budget);
    for (let visit = 0; visit < 15; visit++) {
      await pauseAndSweep(55_000);
      tokens += await spendAll(start(), budget);
    }
    expect(tokens).toBe(budget);
  });

  // Guards against: the account of a running program expired when the store was away as its row was due to be written.
  it('outlives an outage of the store at the time at which it is due', async () => {
    const instance = start();
    let tokens = 0;
    for (let turn = 0; turn < 60; turn++) {
      store.faults.isRefusing = turn % 12 > 1 && turn % 12 < 9;
      const delivered = await runTurn(instance);
      tokens += typeof delivered === 'number' ? delivered : 0;
      await pauseAndSweep(5_000);
    }
    store.faults.isRefusing = false;
    tokens += await spendAll(start());
    expect(tokens).toBeGreaterThan(BUDGET / 2);
    expect(tokens).toBeLessThanOrEqual(BUDGET + MAXIMUM_TOKENS);
  });

  /** Runs turns in quick succession, so that the account is written several times. */
  async function spendHalf(instance: TurnBudgets): Promise<number> {
    let tokens = 0;
    while (tokens < BUDGET / 2) {
      tokens += Number(await runTurn(instance, { delivered: MAXIMUM_TOKENS }));
      await timers.advance(100);
    }
    return tokens;
  }

  // Guards against: an account that was removed while its program was in use began anew with nothing spent.
  it('is restored when it is removed', async () => {
    const instance = start();
    let tokens = await spendHalf(instance);
    store.list(BUDGET_TABLE).forEach(row => {
      store.remove(row);
    });
    tokens += await spendAll(instance);
    await timers.advance(1_000);
    tokens += await spendAll(start());
    expect(tokens).toBeLessThanOrEqual(BUDGET + MAXIMUM_TOKENS);
  });

  // Guards against: a sweep that met the first turn after its instance had been suspended took away what was spent.
  it.each([-10, -5, 0, 5, 10])(
    'outlives a sweep that begins %d ms after its row may be removed, beside a turn',
    async offsetMilliseconds => {
      const instance = start();
      let tokens = await spendHalf(instance);
      const [{ value } = { value: Buffer.alloc(0) }] = store.list(BUDGET_TABLE);
      const { expiresAt } = JSON.parse(value.toString()) as { readonly expiresAt: number };
      const sweepsAt = expiresAt + CLOCK_MARGIN_MILLISECONDS + offsetMilliseconds;
      timers.skip(sweepsAt - timers.wallClock());
      const turn = runTurn(instance, { delivered: MAXIMUM_TOKENS });
      const [delivered] = await Promise.all([turn, sweepAll(store, timers, sweptBudgets)]);
      tokens += Number(delivered) + (await spendAll(instance));
      await timers.advance(1_000);
      tokens += await spendAll(start());
      expect(tokens).toBeLessThanOrEqual(BUDGET + MAXIMUM_TOKENS);
    },
  );

  // Guards against: each time that the row was written to be kept, a quarter of what was left was held for the instance.
  it('leaves a program most of its budget after a restart of all instances', async () => {
    const budget = 8 * MAXIMUM_TOKENS;
    const instance = start();
    let tokens = 0;
    for (let turn = 0; turn < 9; turn++) {
      tokens += Number(await runTurn(instance, { budget, most: SLOW_TOKENS }));
      await pauseAndSweep(10_000);
    }
    tokens += await spendAll(start(), budget);
    expect(tokens).toBeGreaterThan(0.8 * budget);
    expect(tokens).toBeLessThanOrEqual(budget);
  });

  it('is removed once its program has not come back for the retention', async () => {
    await runTurn(start());
    await pauseAndSweep(RETENTION_MILLISECONDS);
    expect(store.list(BUDGET_TABLE)).toHaveLength(1);
    await pauseAndSweep(LIFETIME_MILLISECONDS - RETENTION_MILLISECONDS);
    expect(store.list(BUDGET_TABLE)).toEqual([]);
  });

  // Guards against: a planned stop wrote a row for each program that had ended long before with much of its budget.
  it('costs no write at a planned stop once its program has been idle for some time', async () => {
    const instance = start();
    await runTurn(instance);
    await timers.advance(25_000);
    const { transactions } = store;
    const accounts = startedAccounts.at(-1);
    accounts?.stopReservingAhead();
    await finishWithin(timers, accounts?.releaseAll() ?? Promise.resolve(), 1_000);
    expect(store.transactions).toBe(transactions);
  });

  it('costs few writes while its program goes on with tokens reserved in advance', async () => {
    const instance = start();
    for (let turn = 0; turn < 300; turn++) {
      await runTurn(instance, { budget: 10 * BUDGET });
      await timers.advance(1_000);
    }
    // Two lifetimes and a quarter have passed; the row is written four times in each.
    expect(store.transactions).toBeLessThanOrEqual(12);
  });
});
