import type { PartitionedTable } from '@zincring/platform';

import { ManualTimerService } from '@zincring/core';

/** Length of one step of the clocks, in milliseconds. */
const STEP_MILLISECONDS = 20;

/** A process on manual clocks of its own that can stand still while time passes elsewhere. */
export class PausableProcess {
  public readonly timers = new ManualTimerService();
  private resumption: Promise<void> | undefined;
  private resume = (): void => undefined;
  private missedMilliseconds = 0;

  /** Lets the process run for some time if it does not stand still. */
  public async advance(milliseconds: number): Promise<void> {
    if (this.resumption === undefined) {
      await this.timers.advance(milliseconds);
    } else {
      this.missedMilliseconds += milliseconds;
    }
  }

  /** Stops the process until it is continued; what it is sent waits. */
  public pause(): void {
    this.missedMilliseconds = 0;
    this.resumption = new Promise(resolve => {
      this.resume = resolve;
    });
  }

  /** Continues the process. Its monotonic clock has counted the pause unless the machine was suspended. */
  public continue(isSuspended: boolean): void {
    if (isSuspended) {
      this.timers.stepWallClock(this.missedMilliseconds);
    } else {
      this.timers.skip(this.missedMilliseconds);
    }
    this.resumption = undefined;
    this.resume();
  }

  /** Wraps a client of the store, whose answers arrive while the process runs. */
  public wrap(table: PartitionedTable): PartitionedTable {
    const receive = async <Answer>(pendingAnswer: Promise<Answer>): Promise<Answer> => {
      const answer = await pendingAnswer;
      await this.resumption;
      return answer;
    };
    return {
      changes: async request => await receive(table.changes(request)),
      read: async request => await receive(table.read(request)),
      transact: async transaction => await receive(table.transact(transaction)),
    };
  }
}

/** Lets time pass for a store and for processes that use it. */
export async function advanceAll(
  store: ManualTimerService,
  processes: readonly PausableProcess[],
  milliseconds: number,
): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    await store.advance(STEP_MILLISECONDS);
    for (const process of processes) {
      await process.advance(STEP_MILLISECONDS);
    }
  }
}
