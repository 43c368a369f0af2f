import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { RATE_TABLE, StoreCreditSource } from '../../src/limits/storeCreditSource.js';
import { makeBudgetAddress, StoreTokenAccounts } from '../../src/programs/storeTokenAccounts.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';

const bucket = { burst: 20, name: 'clerks', ratePerSecond: 10 };
const demand = {
  budget: 1_725,
  expiresAt: 1_796_356_821_000,
  hasEarlierTurns: false,
  maximumTokens: 575,
  program: 'clerks/program-1',
  reservation: 'run-1.0',
};
const unreadable = ['no JSON', '{"held":', 'null', '7'];
const { signal } = new AbortController();

describe('a row that cannot be read', () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let common: { holder: string; logger: typeof silentLogger; random: () => number };

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    common = { holder: 'run-1', logger: silentLogger, random: () => 0.5 };
  });

  it.each(unreadable)('makes the rate unknown until it is repaired: %s', async value => {
    const address = { key: bucket.name, partition: 'rates-clerks', table: RATE_TABLE };
    const table = new MonitoredTable(store.client(), timers);
    const credits = new StoreCreditSource({ ...common, table, timers });
    store.put(address, value);
    const refused = await finishWithin(timers, credits.acquire(bucket, signal), 1_000);
    expect(refused.err && refused.val.kind).toBe('store-unavailable');
    store.remove(address);
    await timers.advance(2_000);
    const admitted = await finishWithin(timers, credits.acquire(bucket, signal), 1_000);
    expect(admitted.ok).toBe(true);
  });

  it.each(unreadable)('makes the budget unknown until it is repaired: %s', async value => {
    const address = makeBudgetAddress(demand.program);
    const table = new MonitoredTable(store.client(), timers);
    const accounts = new StoreTokenAccounts({ ...common, table, timers });
    store.put(address, value);
    const refused = await finishWithin(timers, accounts.reserve(demand, signal), 1_000);
    expect(refused.kind).toBe('unknown');
    store.remove(address);
    const held = await finishWithin(timers, accounts.reserve(demand, signal), 1_000);
    expect(held.kind).toBe('held');
  });
});
