import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { RATE_TABLE, StoreCreditSource } from '../../src/limits/storeCreditSource.js';
import { makeBudgetAddress, StoreTokenAccounts } from '../../src/programs/storeTokenAccounts.js';
import type { TurnId } from '../../src/callers/requestFacts.js';

import {
  encodeTurn,
  sweptTurns,
  TURN_TABLE,
  turnPartitions,
} from '../../src/programs/storedTurnRows.js';
import { TurnStore } from '../../src/programs/turnStore.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { RowSweeper } from '../../src/store/rowSweeper.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleRoute, sampleTurn } from '../support/samples.js';

const bucket = { burst: 20, name: 'clerks', ratePerSecond: 10 };
const demand = {
  budget: 1_725,
  expiresAt: 1_796_356_821_000,
  hasEarlierTurns: false,
  maximumTokens: 575,
  program: 'clerks/program-1',
  reservation: 'run-1.0',
};
const deep = `${'['.repeat(60_000)}${']'.repeat(60_000)}`;
const unreadable = [
  ['no JSON', 'no JSON'],
  ['a part of JSON', '{"held":'],
  ['null', 'null'],
  ['a number', '7'],
  ['nested deeply', deep],
  ['nothing', '{}'],
];
const oddBuckets = [
  ['without end', '{"held":{},"tokens":1e999,"updatedAt":0}'],
  ['without a time', '{"held":{},"tokens":20}'],
  ['with odd credit', '{"held":{"a":{"requests":"many"}},"tokens":20,"updatedAt":0}'],
];
const oddAccounts = [
  ['without end', '{"expiresAt":0,"holds":{},"spent":-1e999}'],
  ['with an odd reservation', '{"expiresAt":0,"holds":{"a":{"tokens":"x"}},"spent":0}'],
  ['with a reservation of nothing', '{"expiresAt":0,"holds":{"a":null},"spent":0}'],
];
const oddTurns = [
  ['without a head', '\n'],
  ['of another form', '[]\n'],
  [
    'with ancestors that are none',
    '{"ancestors":[7],"chunks":1,"expiresAt":0,"inputBytes":0,"workspace":null}\n',
  ],
  [
    'of more rows than one transaction',
    '{"ancestors":[],"chunks":4e9,"expiresAt":0,"inputBytes":0,"workspace":null}\n',
  ],
];
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

  it.each([...unreadable, ...oddBuckets])(
    'makes the rate unknown until it is repaired: %s',
    async (_name, value) => {
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
    },
  );

  it.each([...unreadable, ...oddAccounts])(
    'makes the budget unknown until it is repaired: %s',
    async (_name, value) => {
      const address = makeBudgetAddress(demand.program);
      const table = new MonitoredTable(store.client(), timers);
      const accounts = new StoreTokenAccounts({ ...common, table, timers });
      store.put(address, value);
      const refused = await finishWithin(timers, accounts.reserve(demand, signal), 1_000);
      expect(refused.kind).toBe('unknown');
      store.remove(address);
      const held = await finishWithin(timers, accounts.reserve(demand, signal), 1_000);
      expect(held.kind).toBe('held');
    },
  );

  it.each([...unreadable, ...oddTurns])('makes a turn unknown: %s', async (_name, value) => {
    const id = 'turn-1' as TurnId;
    store.put({ key: id, partition: turnPartitions.of(id), table: TURN_TABLE }, value);
    const table = new MonitoredTable(store.client(), timers);
    const turns = new TurnStore({ ...common, rowBytes: 65_536, table, timers });
    const next = sampleTurn(
      'turn-2',
      { previousTurn: id },
      { route: sampleRoute({ storesTurns: true }) },
    );
    const composed = await finishWithin(timers, turns.compose(next, signal), 1_000);
    expect(composed.err && composed.val.kind).toBe('store-unavailable');
  });

  it.each([...unreadable, ...oddTurns])(
    'keeps no expired row from the sweep: %s',
    async (_name, value) => {
      const turn = {
        ancestors: [],
        expiresAt: timers.wallClock() - 60_000,
        id: 'turn-2' as TurnId,
        input: Buffer.alloc(0),
        output: Buffer.alloc(0),
        workspace: undefined,
      };
      const address = { key: 'turn-2', partition: '0', table: TURN_TABLE };
      store.put({ ...address, key: 'turn-1' }, value);
      store.put(address, encodeTurn(turn, 65_536)[0]!.value.toString());
      const swept = { ...sweptTurns, partitions: ['0'] };
      const sweeper = new RowSweeper(
        { ...common, random: () => 0, table: store.client(), timers },
        [swept],
      );
      await finishWithin(timers, sweeper.sweepPage(), 1_000);
      expect(store.get(address)).toBeUndefined();
    },
  );
});
