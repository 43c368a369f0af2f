import type { ManualTimerService } from '@zincring/core';

import { silentLogger } from '@zincring/core';

import type { SweptTable } from '../../src/store/rowSweeper.js';
import type { MemoryTable } from './memoryTable.js';

import { RowSweeper } from '../../src/store/rowSweeper.js';
import { finishWithin } from './finishWithin.js';

/** Removes all expired rows of a table, as the sweeps of all instances do in time. */
export async function sweepAll(
  store: MemoryTable,
  timers: ManualTimerService,
  sweptTable: SweptTable,
): Promise<void> {
  const table = store.client();
  const sweeps = sweptTable.partitions.map(async partition => {
    const swept = [{ ...sweptTable, partitions: [partition] }];
    await new RowSweeper(
      { logger: silentLogger, random: () => 0, table, timers },
      swept,
    ).sweepPage();
  });
  await finishWithin(timers, Promise.all(sweeps), 1_000);
}
