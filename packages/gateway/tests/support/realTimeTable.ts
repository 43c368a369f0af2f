import type { PartitionedTable, RowAddress } from '@zincring/platform';

import { ManualTimerService } from '@zincring/core';

import { MemoryTable } from './memoryTable.js';

/** Length of one step of the store's manual clock and pause between two steps, in milliseconds. */
const STEP_MILLISECONDS = 5;

/** In-memory store for tests in real time: its manual clock is advanced by timers. */
export class RealTimeTable {
  private readonly timers = new ManualTimerService();
  private readonly inner = new MemoryTable(this.timers);

  public constructor() {
    const step = (): void => {
      void this.timers.advance(STEP_MILLISECONDS).then(() => {
        setTimeout(step, STEP_MILLISECONDS).unref();
      });
    };
    step();
  }

  public set isRefusing(isRefusing: boolean) {
    this.inner.faults.isRefusing = isRefusing;
  }

  public set latencyMilliseconds(milliseconds: number) {
    this.inner.faults.latencyMilliseconds = milliseconds;
  }

  public client(): PartitionedTable {
    return this.inner.client();
  }

  public put(address: RowAddress, value: unknown): void {
    this.inner.put(address, value);
  }

  public remove(address: RowAddress): void {
    this.inner.remove(address);
  }
}
