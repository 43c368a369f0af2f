import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { StoreFaults } from '../support/memoryTable.js';

import {
  WorkspaceHistory,
  workspaceHistoryAddress,
} from '../../src/configuration/workspaceHistory.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleConfiguration } from '../support/samples.js';

/** Time in which all instances know what one of them recorded, in milliseconds: far less than a withdrawn key may be accepted. */
const KNOWN_MILLISECONDS = 1_500;

const withList = sampleConfiguration(7);
const withEmptyList = sampleConfiguration(8, { workspaces: [] });
const withoutList = sampleConfiguration(9, { workspaces: undefined });

/** Guards against instances that start on a configuration without a list and take it for the first one. */
describe(WorkspaceHistory, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
  });

  function start(): WorkspaceHistory {
    return new WorkspaceHistory({
      logger: silentLogger,
      table: store.client(),
      timers,
    });
  }

  it.each([
    ['with entries', withList],
    ['without entries', withEmptyList],
  ])('keeps that there was a list %s for instances that start later', async (_name, list) => {
    start().record(list);
    await timers.advance(100);
    const later = start();
    later.record(withoutList);
    expect(later.hadWorkspaces).toBeUndefined();
    await timers.advance(100);
    expect(later.hadWorkspaces).toBe(true);
  });

  it('knows at once that a list was left out which it has seen itself', () => {
    const history = start();
    history.record(withList);
    history.record(withoutList);
    expect(history.hadWorkspaces).toBe(true);
  });

  it('knows that there was none, and of one that another instance has seen since', async () => {
    const history = start();
    history.record(withoutList);
    await timers.advance(100);
    expect(history.hadWorkspaces).toBe(false);
    start().record(withList);
    await timers.advance(KNOWN_MILLISECONDS);
    expect(history.hadWorkspaces).toBe(true);
  });

  it('records a list that comes into force later', async () => {
    const history = start();
    history.record(withoutList);
    await timers.advance(100);
    history.record(withList);
    await timers.advance(KNOWN_MILLISECONDS);
    expect(store.get(workspaceHistoryAddress)).toBeDefined();
  });

  const outages: readonly (readonly [string, (faults: StoreFaults, isOut: boolean) => void])[] = [
    ['is silent', (faults, isOut) => (faults.isSilent = isOut)],
    ['refuses all calls', (faults, isOut) => (faults.isRefusing = isOut)],
    ['loses its answers', (faults, isOut) => (faults.losesAnswers = isOut)],
  ];

  it.each(outages)('records the list after a time in which the store %s', async (_name, setOut) => {
    setOut(store.faults, true);
    start().record(withList);
    await timers.advance(5_000);
    setOut(store.faults, false);
    await timers.advance(KNOWN_MILLISECONDS);
    expect(store.get(workspaceHistoryAddress)).toBeDefined();
  });

  it.each(outages.slice(0, 2))('knows nothing while the store %s', async (_name, setOut) => {
    start().record(withList);
    await timers.advance(100);
    setOut(store.faults, true);
    const later = start();
    later.record(withoutList);
    await timers.advance(5_000);
    expect(later.hadWorkspaces).toBeUndefined();
    setOut(store.faults, false);
    await timers.advance(KNOWN_MILLISECONDS);
    expect(later.hadWorkspaces).toBe(true);
  });

  it('writes one row, whichever instances see the list and however often they start', async () => {
    const histories = Array.from({ length: 12 }, start);
    histories.forEach(history => {
      history.record(withList);
    });
    await timers.advance(1_000);
    const { transactions } = store;
    start().record(withList);
    await timers.advance(1_000);
    expect(store.list(workspaceHistoryAddress.table)).toHaveLength(1);
    expect(store.transactions).toBe(transactions);
  });

  it('asks for nothing once it is stopped', async () => {
    const history = start();
    history.record(withoutList);
    await timers.advance(100);
    history.stop();
    const { calls } = store;
    await timers.advance(5_000);
    expect(store.calls).toBe(calls);
  });
});
