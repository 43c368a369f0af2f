import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

/** Faults that a platform stand-in injects into its operations. */
export interface Faults {
  /** Delay before every operation, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** With `refuse` every operation fails without effect; with `hang` none gets a response. */
  readonly outage: 'hang' | 'none' | 'refuse';
  /** Number of next writes that take effect but whose response is lost. */
  readonly lostAnswers: number;
  /** Number of next operations that fail without effect. */
  readonly errors: number;
}

/** Settings that inject no faults. */
export const noFaults: Faults = {
  errors: 0,
  latencyMilliseconds: 0,
  lostAnswers: 0,
  outage: 'none',
};

/**
 * Outcome of one operation: `answer-lost` takes effect but its response is lost, `hung` gets no
 * response, and `refused` fails without effect.
 */
export type ScriptedOutcome = 'answered' | 'answer-lost' | 'hung' | 'refused';

/** Stores the faults that are switched on and decides the outcome of each operation. */
export class FaultSwitch {
  private faults: Faults = noFaults;

  public constructor(private readonly timers: TimerService) {}

  /** Changes the given faults; the others keep their values. */
  public set(changes: Partial<Faults>): void {
    this.faults = { ...this.faults, ...changes };
  }

  /** Waits for the configured latency, then returns the outcome of the operation. */
  public async decideOutcome(isWrite: boolean): Promise<ScriptedOutcome> {
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
