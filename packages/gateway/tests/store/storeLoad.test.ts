import { ManualTimerService } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { LoadSecond } from '../support/programLoad.js';

import { MemoryTable } from '../support/memoryTable.js';
import { runPrograms } from '../support/programLoad.js';

/** The store takes 1,500 transactions a second, of which stored turns need a third, for 2,000 requests. */
const MAXIMUM_TRANSACTIONS_PER_REQUEST = 0.5;

function sum(seconds: readonly LoadSecond[], field: keyof LoadSecond): number {
  return seconds.reduce((total, second) => total + second[field], 0);
}

describe('load of the store', () => {
  it.each([12, 84, 250])(
    'does not grow with the number of instances (%i) that requests spread over',
    async instances => {
      const timers = new ManualTimerService();
      const store = new MemoryTable(timers);
      const seconds = await runPrograms(timers, store, {
        instances,
        programsPerSecond: () => 25,
        seconds: 10,
      });
      const requests = sum(seconds, 'requests');
      expect(requests).toBeGreaterThan(1_500);
      expect(sum(seconds, 'refused') / requests).toBeLessThan(0.02);
      expect(store.transactions / requests).toBeLessThan(MAXIMUM_TRANSACTIONS_PER_REQUEST);
    },
    60_000,
  );

  it('returns to normal soon after a burst beyond the rate of the store', async () => {
    const timers = new ManualTimerService();
    const store = new MemoryTable(timers);
    store.faults.transactionsPerSecond = 150;
    const seconds = await runPrograms(timers, store, {
      instances: 84,
      programsPerSecond: second => (second >= 3 && second < 6 ? 80 : 12),
      seconds: 14,
    });
    const afterBurst = seconds.slice(10);
    expect(sum(afterBurst, 'refused') / sum(afterBurst, 'requests')).toBeLessThan(0.05);
  }, 60_000);

  it('calls a store that is over its rate hardly more often than it accepts calls', async () => {
    const timers = new ManualTimerService();
    const store = new MemoryTable(timers);
    store.faults.transactionsPerSecond = 60;
    let beforeAdjustment = { accepted: 0, sent: 0 };
    await runPrograms(timers, store, {
      instances: 4,
      programsPerSecond: second => {
        if (second < 2) {
          beforeAdjustment = { accepted: store.acceptedTransactions, sent: store.transactions };
        }
        return 60;
      },
      seconds: 12,
    });
    const sent = store.transactions - beforeAdjustment.sent;
    const accepted = store.acceptedTransactions - beforeAdjustment.accepted;
    expect(sent / accepted).toBeLessThan(2);
  }, 60_000);
});
