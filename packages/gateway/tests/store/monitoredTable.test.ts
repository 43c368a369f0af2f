import type { PartitionedTable } from '@zincring/platform';

import { ManualTimerService } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';

const range = { partition: 'p', table: 't' };

describe(MonitoredTable, () => {
  it('returns a short retry delay while this instance cannot reach the store', async () => {
    const timers = new ManualTimerService();
    const store = new MemoryTable(timers);
    const table = new MonitoredTable(store.client(), timers);
    store.faults.isRefusing = true;
    for (let call = 0; call < 3; call++) {
      await finishWithin(timers, table.read(range), 1_000);
      await timers.advance(200);
    }
    expect(table.isUnavailable).toBe(true);
    expect(table.retryAfterSeconds).toBeLessThanOrEqual(0.1);
  });

  it('holds back usual calls while the store refuses them by its rate, but no essential ones', async () => {
    const timers = new ManualTimerService();
    const store = new MemoryTable(timers);
    store.faults.transactionsPerSecond = 0;
    const table = new MonitoredTable(store.client(), timers, undefined, () => 0.5);
    const transaction = {
      checks: [],
      removals: [],
      writes: [{ key: 'k', partition: 'p', table: 't', value: Buffer.from('v') }],
    };
    const offer = async (offered: PartitionedTable): Promise<number> => {
      const sentBefore = store.transactions;
      for (let call = 0; call < 20; call++) {
        expect((await offered.transact(transaction)).err).toBe(true);
        await timers.advance(100);
      }
      return store.transactions - sentBefore;
    };
    expect(await offer(table)).toBeLessThan(15);
    expect(await offer(table)).toBe(0);
    expect(await offer(table.essential)).toBe(20);
  });

  it('returns a longer retry delay while the store answers some calls and refuses others', async () => {
    const timers = new ManualTimerService();
    const store = new MemoryTable(timers);
    const table = new MonitoredTable(store.client(), timers);
    for (let call = 0; call < 6; call++) {
      store.faults.isRefusing = call % 2 === 0;
      await finishWithin(timers, table.read(range), 1_000);
      await timers.advance(200);
    }
    expect(table.isUnavailable).toBe(false);
    expect(table.retryAfterSeconds).toBeGreaterThanOrEqual(0.4);
  });
});
