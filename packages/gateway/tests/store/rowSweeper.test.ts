import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { TurnId } from '../../src/callers/requestFacts.js';

import { encodeTurn, sweptTurns, TURN_TABLE } from '../../src/programs/storedTurnRows.js';
import { sweptBudgets } from '../../src/programs/storeTokenAccounts.js';
import { RowSweeper } from '../../src/store/rowSweeper.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';

describe(RowSweeper, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let sweeper: RowSweeper;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    const dependencies = { logger: silentLogger, random: () => 0, table: store.client(), timers };
    sweeper = new RowSweeper(dependencies, [{ ...sweptTurns, partitions: ['0'] }]);
  });

  function storeTurn(id: string, expiresAt: number, bytes: number): readonly string[] {
    const turn = {
      ancestors: [],
      expiresAt,
      id: id as TurnId,
      input: Buffer.alloc(bytes, 'x'),
      output: Buffer.alloc(0),
      workspace: undefined,
    };
    return encodeTurn(turn, 65_536).map(({ key, value }) => {
      store.put({ key, partition: '0', table: TURN_TABLE }, value.toString());
      return key;
    });
  }

  function isStored(key: string): boolean {
    return store.get({ key, partition: '0', table: TURN_TABLE }) !== undefined;
  }

  it('removes expired turns with all their rows and keeps the others', async () => {
    const expiredKeys = storeTurn('a', timers.wallClock() - 60_000, 150_000);
    const unexpiredKeys = storeTurn('b', timers.wallClock() + 60_000, 150_000);
    expect(expiredKeys.length).toBeGreaterThan(1);
    await finishWithin(timers, sweeper.sweepPage(), 1_000);
    expect(expiredKeys.map(isStored)).toEqual(expiredKeys.map(() => false));
    expect(unexpiredKeys.map(isStored)).toEqual(unexpiredKeys.map(() => true));
  });

  it('removes more rows per second than a dozen instances write', async () => {
    for (let index = 0; index < 300; index++) {
      storeTurn(`t${String(index).padStart(3, '0')}`, timers.wallClock() - 60_000, 10);
    }
    sweeper.start();
    await timers.advance(20_000);
    sweeper.stop();
    // Sixty turns per second expire; a dozen instances sweep three tables.
    const remaining = Array.from({ length: 300 }, (_unused, index) => index).filter(index =>
      isStored(`t${String(index).padStart(3, '0')}`),
    );
    expect(300 - remaining.length).toBeGreaterThanOrEqual((20 * 60 * 3) / 12);
  });

  it('sweeps a partition page by page', async () => {
    const keys = Array.from({ length: 50 }, (_unused, index) => {
      const id = `t${String(index).padStart(2, '0')}`;
      return storeTurn(id, timers.wallClock() - 60_000, 10)[0]!;
    });
    for (let page = 0; page < 4; page++) {
      await finishWithin(timers, sweeper.sweepPage(), 1_000);
    }
    expect(keys.filter(isStored)).toEqual([]);
  });

  it('reads the expiry of a budget', () => {
    const address = { key: 'p', partition: '0', table: sweptBudgets.table };
    store.put(address, { expiresAt: 7, holds: {}, spent: 0 });
    expect(sweptBudgets.expiresAt(store.get(address)!)).toBe(7);
  });

  it.each(['no head at all', '{"expiresAt":', 'null\n'])(
    'removes the expired rows beside a row that it cannot read: %s',
    async value => {
      const unreadable = { key: 'a-unreadable', partition: '0', table: TURN_TABLE };
      store.put(unreadable, value);
      const [key] = storeTurn('b', timers.wallClock() - 60_000, 10);
      await finishWithin(timers, sweeper.sweepPage(), 1_000);
      expect(isStored(key!)).toBe(false);
      expect(store.get(unreadable)).toBeDefined();
    },
  );

  it('retries later when the store is unavailable', async () => {
    const [key] = storeTurn('a', timers.wallClock() - 60_000, 10);
    store.faults.isRefusing = true;
    await finishWithin(timers, sweeper.sweepPage(), 1_000);
    store.faults.isRefusing = false;
    await finishWithin(timers, sweeper.sweepPage(), 1_000);
    expect(isStored(key!)).toBe(false);
  });
});
