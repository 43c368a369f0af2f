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
