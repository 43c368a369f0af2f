import type { TimerService, TimerSubscription } from '@zincring/core';

/** How a process of the simulation stands. */
export type ProcessState = 'dead' | 'paused' | 'running';

/** A monotonic clock with a zero and a speed of its own. */
export interface SimulatedClock {
  readonly offsetMilliseconds: number;
  /** Part by which the clock runs fast. */
  readonly drift: number;
}

/**
 * One process: whatever reaches it while it is paused waits until it goes on, and never arrives
 * once it is dead.
 */
export class SimulatedProcess implements TimerService {
  private currentState: ProcessState = 'running';
  private inbox: (() => void)[] = [];

  public constructor(
    private readonly world: TimerService,
    private readonly clock: SimulatedClock,
  ) {}

  public get state(): ProcessState {
    return this.currentState;
  }

  /** Runs work in the process, now or when it goes on. */
  public run(work: () => void): void {
    switch (this.currentState) {
      case 'running':
        work();
        return;
      case 'paused':
        this.inbox.push(work);
        return;
      case 'dead':
        return;
    }
  }

  /** Freezes the process, as SIGSTOP does. */
  public pause(): void {
    if (this.currentState === 'running') {
      this.currentState = 'paused';
    }
  }

  /** Lets the process go on. */
  public resume(): void {
    if (this.currentState !== 'paused') {
      return;
    }
    this.currentState = 'running';
    const waiting = this.inbox;
    this.inbox = [];
    for (const work of waiting) {
      work();
    }
  }

  /** Ends the process without notice. */
  public kill(): void {
    this.currentState = 'dead';
    this.inbox = [];
  }

  /** Lets an outcome of the outside reach the process only while it runs. */
  public async receive<Value>(outcome: Promise<Value>): Promise<Value> {
    const value = await outcome;
    return await new Promise(resolve => {
      this.run(() => {
        resolve(value);
      });
    });
  }

  public now(): number {
    return this.clock.offsetMilliseconds + this.world.now() * (1 + this.clock.drift);
  }

  public wallClock(): number {
    return this.world.wallClock();
  }

  public after(delayMilliseconds: number, callback: () => void): TimerSubscription {
    return this.guard(
      run => this.world.after(delayMilliseconds / (1 + this.clock.drift), run),
      callback,
    );
  }

  public every(intervalMilliseconds: number, callback: () => void): TimerSubscription {
    return this.guard(
      run => this.world.every(intervalMilliseconds / (1 + this.clock.drift), run),
      callback,
    );
  }

  private guard(
    schedule: (run: () => void) => TimerSubscription,
    callback: () => void,
  ): TimerSubscription {
    let isStopped = false;
    const subscription = schedule(() => {
      if (this.currentState === 'dead') {
        subscription.stop();
        return;
      }
      this.run(() => {
        if (!isStopped) {
          callback();
        }
      });
    });
    return {
      stop: () => {
        isStopped = true;
        subscription.stop();
      },
    };
  }
}
