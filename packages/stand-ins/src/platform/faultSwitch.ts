import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

/** The faults that a stand-in shows. */
export interface Faults {
  /** Delay before every operation, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** `refuse` answers that nothing was done; `hang` never answers. */
  readonly outage: 'hang' | 'none' | 'refuse';
  /** How many of the next writes take effect without an answer. */
  readonly lostAnswers: number;
  /** How many of the next operations fail without effect. */
  readonly errors: number;
}

/** No faults at all. */
export const noFaults: Faults = {
  errors: 0,
  latencyMilliseconds: 0,
  lostAnswers: 0,
  outage: 'none',
};

/** What becomes of one operation. */
export type OperationFate = 'answered' | 'answer-lost' | 'hung' | 'refused';

/** Decides the fate of operations by the faults that are switched on. */
export class FaultSwitch {
  private faults: Faults = noFaults;

  public constructor(private readonly timers: TimerService) {}

  /** Switches faults; what is not named keeps its state. */
  public set(changes: Partial<Faults>): void {
    this.faults = { ...this.faults, ...changes };
  }

  /** Waits out the latency and tells what becomes of the operation. */
  public async decide(isWrite: boolean): Promise<OperationFate> {
    if (this.faults.latencyMilliseconds > 0) {
      await sleep(this.timers, this.faults.latencyMilliseconds);
    }
    if (this.faults.outage !== 'none') {
      return this.faults.outage === 'hang' ? 'hung' : 'refused';
    }
    if (this.faults.errors > 0) {
      this.set({ errors: this.faults.errors - 1 });
      return 'refused';
    }
    if (isWrite && this.faults.lostAnswers > 0) {
      this.set({ lostAnswers: this.faults.lostAnswers - 1 });
      return 'answer-lost';
    }
    return 'answered';
  }
}
