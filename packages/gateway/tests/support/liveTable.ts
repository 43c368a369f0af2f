import type { PartitionedTable, RowAddress } from '@zincring/platform';

import { ManualTimerService } from '@zincring/core';

import { MemoryTable } from './memoryTable.js';

/** Pause between steps of the store's time, in milliseconds. */
const STEP = 5;

/** The store in memory for tests in real time. */
export class LiveTable {
  private readonly timers = new ManualTimerService();
  private readonly inner = new MemoryTable(this.timers);

  public constructor() {
    const step = (): void => {
      void this.timers.advance(STEP).then(() => {
        setTimeout(step, STEP).unref();
      });
    };
    step();
  }

  public set isRefusing(isRefusing: boolean) {
    this.inner.faults.isRefusing = isRefusing;
  }

  public set latency(milliseconds: number) {
    this.inner.faults.latency = milliseconds;
  }

  public client(): PartitionedTable {
    return this.inner.client();
  }

  public put(address: RowAddress, value: unknown): void {
    this.inner.put(address, value);
  }
}
