import type { TimerService, TimerSubscription } from '@zincring/core';

/** State of a simulated process. */
export type ProcessState = 'dead' | 'paused' | 'running';

/** A monotonic clock with its own zero and speed. */
export interface SimulatedClock {
  readonly offsetMilliseconds: number;
  /** Fraction by which the clock runs fast; negative for a slow clock. */
  readonly drift: number;
}

/**
 * Simulates one process: work that reaches it while it is paused is queued until it resumes, and
 * work that reaches it after it was killed is dropped.
 */
export class SimulatedProcess implements TimerService {
  private currentState: ProcessState = 'running';
  private pausedWork: (() => void)[] = [];

  public constructor(
    private readonly simulationTimers: TimerService,
    private readonly clock: SimulatedClock,
  ) {}

  public get state(): ProcessState {
    return this.currentState;
  }

  /** Runs work in the process, immediately or once the process resumes. */
  public run(work: () => void): void {
    switch (this.currentState) {
      case 'running':
        work();
        return;
      case 'paused':
        this.pausedWork.push(work);
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

  /** Resumes the process and runs the queued work. */
  public resume(): void {
    if (this.currentState !== 'paused') {
      return;
    }
    this.currentState = 'running';
    const queuedWork = this.pausedWork;
    this.pausedWork = [];
    for (const work of queuedWork) {
      work();
    }
  }

  /** Kills the process without a clean stop. */
  public kill(): void {
    this.currentState = 'dead';
    this.pausedWork = [];
  }

  /** Delivers the outcome of an external operation to the process once it runs. */
  public async receive<Value>(outcome: Promise<Value>): Promise<Value> {
    const value = await outcome;
    return await new Promise(resolve => {
      this.run(() => {
        resolve(value);
      });
    });
  }

  public now(): number {
    return this.clock.offsetMilliseconds + this.simulationTimers.now() * (1 + this.clock.drift);
  }

  public wallClock(): number {
    return this.simulationTimers.wallClock();
  }

  public after(delayMilliseconds: number, callback: () => void): TimerSubscription {
    return this.scheduleInProcess(
      run => this.simulationTimers.after(delayMilliseconds / (1 + this.clock.drift), run),
      callback,
    );
  }

  public every(intervalMilliseconds: number, callback: () => void): TimerSubscription {
    return this.scheduleInProcess(
      run => this.simulationTimers.every(intervalMilliseconds / (1 + this.clock.drift), run),
      callback,
    );
  }

  private scheduleInProcess(
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
