import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { TurnId } from '../../src/callers/requestFacts.js';

import { encodeTurn, sweptTurns, TURN_TABLE } from '../../src/programs/keptTurnRows.js';
import { sweptBudgets } from '../../src/programs/turnBudgets.js';
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
    const parts = { logger: silentLogger, random: () => 0, table: store.client(), timers };
    sweeper = new RowSweeper(parts, [{ ...sweptTurns, partitions: ['0'] }]);
  });

  function putTurn(id: string, expiresAt: number, bytes: number): readonly string[] {
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

  function isKept(key: string): boolean {
    return store.get({ key, partition: '0', table: TURN_TABLE }) !== undefined;
  }

  it('removes turns that have ended with all their rows, and keeps the others', async () => {
    const ended = putTurn('a', timers.wallClock() - 60_000, 150_000);
    const kept = putTurn('b', timers.wallClock() + 60_000, 150_000);
    expect(ended.length).toBeGreaterThan(1);
    await finishWithin(timers, sweeper.look(), 1_000);
    expect(ended.map(isKept)).toEqual(ended.map(() => false));
    expect(kept.map(isKept)).toEqual(kept.map(() => true));
  });

  it('removes more rows a second than a dozen instances write', async () => {
    for (let index = 0; index < 300; index++) {
      putTurn(`t${String(index).padStart(3, '0')}`, timers.wallClock() - 60_000, 10);
    }
    sweeper.start();
    await timers.advance(20_000);
    sweeper.stop();
    // Sixty turns a second end, shared by a dozen instances and three tables.
    const left = Array.from({ length: 300 }, (_unused, index) => index).filter(index =>
      isKept(`t${String(index).padStart(3, '0')}`),
    );
    expect(300 - left.length).toBeGreaterThanOrEqual((20 * 60 * 3) / 12);
  });

  it('goes through a partition page by page', async () => {
    const keys = Array.from({ length: 50 }, (_unused, index) => {
      const id = `t${String(index).padStart(2, '0')}`;
      return putTurn(id, timers.wallClock() - 60_000, 10)[0]!;
    });
    for (let look = 0; look < 4; look++) {
      await finishWithin(timers, sweeper.look(), 1_000);
    }
    expect(keys.filter(isKept)).toEqual([]);
  });

  it('reads the end of an account', () => {
    const address = { key: 'p', partition: '0', table: sweptBudgets.table };
    store.put(address, { expiresAt: 7, holds: {}, spent: 0 });
    expect(sweptBudgets.expiresAt(store.get(address)!)).toBe(7);
  });

  it('tries later when the store is away', async () => {
    const [key] = putTurn('a', timers.wallClock() - 60_000, 10);
    store.faults.isRefusing = true;
    await finishWithin(timers, sweeper.look(), 1_000);
    store.faults.isRefusing = false;
    await finishWithin(timers, sweeper.look(), 1_000);
    expect(isKept(key!)).toBe(false);
  });
});
