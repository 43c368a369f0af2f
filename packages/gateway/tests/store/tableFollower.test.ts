import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { TableFollower } from '../../src/store/tableFollower.js';
import { MemoryTable } from '../support/memoryTable.js';

const TABLE = 'replicas';

describe(TableFollower, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let applied: Set<string>;
  let follower: TableFollower;

  const put = (key: string): void => {
    store.put({ key, partition: '', table: TABLE }, key);
  };

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    applied = new Set();
    const applyRow = (key: string): void => {
      if (key.startsWith('odd')) {
        throw new TypeError(`cannot apply ${key}`);
      }
      applied.add(key);
    };
    const options = {
      initialBackoffMilliseconds: 100,
      pauseMilliseconds: 100,
      table: TABLE,
      waitMilliseconds: 500,
    };
    follower = new TableFollower(store.client(), timers, silentLogger, options, {
      onChanges: changes => {
        changes.forEach(({ row }) => {
          applyRow(row.key);
        });
      },
      onSnapshot: rows => {
        rows.forEach(({ key }) => {
          applyRow(key);
        });
      },
    });
  });

  it.each([
    ['the snapshot', ['even', 'odd', 'table'], []],
    ['the changes', [], ['even', 'odd', 'table']],
    ['both', ['even', 'odd 1'], ['odd 2', 'table']],
  ])('goes on after a row in %s that its listener cannot take', async (_name, before, after) => {
    before.forEach(put);
    follower.start();
    await timers.advance(1_000);
    after.forEach(put);
    await timers.advance(1_000);
    expect([...applied].sort()).toEqual(['even', 'table']);
    put('later');
    await timers.advance(1_000);
    expect(applied.has('later')).toBe(true);
    expect(follower.contactMilliseconds()).toBeLessThan(1_000);
  });
});
