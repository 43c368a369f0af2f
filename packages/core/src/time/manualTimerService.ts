import type { TimerService, TimerSubscription } from './timerService.js';

interface ScheduledTimer {
  readonly creationOrder: number;
  readonly callback: () => void;
  readonly intervalMilliseconds: number | undefined;
  dueAt: number;
}

/** Event-loop iterations that run before the clock moves to the next timer. */
const EVENT_LOOP_ITERATIONS_PER_SETTLE = 8;

/**
 * Clock for tests that moves only on request. Timers fire in order of due time, then of creation.
 *
 * @example
 * const timers = new ManualTimerService();
 * await timers.advance(5_000);
 */
export class ManualTimerService implements TimerService {
  private readonly scheduled = new Set<ScheduledTimer>();
  private currentTime = 0;
  private wallClockOffset: number;
  private nextCreationOrder = 0;

  public constructor(wallClockStart = 1_700_000_000_000) {
    this.wallClockOffset = wallClockStart;
  }

  public now(): number {
    return this.currentTime;
  }

  public wallClock(): number {
    return this.currentTime + this.wallClockOffset;
  }

  /** Changes the wall clock without moving the monotonic clock. */
  public stepWallClock(milliseconds: number): void {
    this.wallClockOffset += milliseconds;
  }

  public after(delayMilliseconds: number, callback: () => void): TimerSubscription {
    return this.schedule(Math.max(0, delayMilliseconds), callback, undefined);
  }

  public every(intervalMilliseconds: number, callback: () => void): TimerSubscription {
    const interval = Math.max(1, intervalMilliseconds);
    return this.schedule(interval, callback, interval);
  }

  /** Moves time forward, firing due timers and running pending callbacks in between. */
  public async advance(milliseconds: number): Promise<void> {
    const target = this.currentTime + milliseconds;
    await this.settle();
    for (let next = this.nextDue(target); next !== undefined; next = this.nextDue(target)) {
      this.fire(next);
      await this.settle();
    }
    this.currentTime = target;
  }

  /** Moves time forward without firing timers, as seen by a process that resumes after a pause. */
  public skip(milliseconds: number): void {
    this.currentTime += milliseconds;
  }

  /** Runs pending promise callbacks and js-csp processes without moving time. */
  public async settle(): Promise<void> {
    for (let iteration = 0; iteration < EVENT_LOOP_ITERATIONS_PER_SETTLE; iteration++) {
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }

  /** Number of scheduled timers. */
  public get scheduledTimerCount(): number {
    return this.scheduled.size;
  }

  private schedule(
    delay: number,
    callback: () => void,
    intervalMilliseconds: number | undefined,
  ): TimerSubscription {
    const timer: ScheduledTimer = {
      creationOrder: this.nextCreationOrder++,
      callback,
      intervalMilliseconds,
      dueAt: this.currentTime + delay,
    };
    this.scheduled.add(timer);
    return {
      stop: () => {
        this.scheduled.delete(timer);
      },
    };
  }

  private nextDue(target: number): ScheduledTimer | undefined {
    let earliest: ScheduledTimer | undefined;
    for (const timer of this.scheduled) {
      if (timer.dueAt > target) {
        continue;
      }
      if (
        earliest === undefined ||
        timer.dueAt < earliest.dueAt ||
        (timer.dueAt === earliest.dueAt && timer.creationOrder < earliest.creationOrder)
      ) {
        earliest = timer;
      }
    }
    return earliest;
  }

  private fire(timer: ScheduledTimer): void {
    this.currentTime = Math.max(this.currentTime, timer.dueAt);
    if (timer.intervalMilliseconds === undefined) {
      this.scheduled.delete(timer);
    } else {
      timer.dueAt = this.currentTime + timer.intervalMilliseconds;
    }
    timer.callback();
  }
}
