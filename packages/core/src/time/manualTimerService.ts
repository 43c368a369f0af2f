import type { TimerService, TimerSubscription } from './timerService.js';

interface ScheduledTimer {
  readonly order: number;
  readonly callback: () => void;
  readonly intervalMilliseconds: number | undefined;
  dueAt: number;
}

/** How many turns of the event loop pass before time moves to the next timer. */
const SETTLE_ROUNDS = 8;

/**
 * Time that moves only when told to. Timers fire in order of due time, then of creation.
 *
 * @example
 * const timers = new ManualTimerService();
 * await timers.advance(5_000);
 */
export class ManualTimerService implements TimerService {
  private readonly scheduled = new Set<ScheduledTimer>();
  private currentTime = 0;
  private wallClockOffset: number;
  private nextOrder = 0;

  public constructor(wallClockStart = 1_700_000_000_000) {
    this.wallClockOffset = wallClockStart;
  }

  public now(): number {
    return this.currentTime;
  }

  public wallClock(): number {
    return this.currentTime + this.wallClockOffset;
  }

  /** Steps the wall clock without moving monotonic time. */
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

  /** Moves time forward, firing what falls due and letting promises settle in between. */
  public async advance(milliseconds: number): Promise<void> {
    const target = this.currentTime + milliseconds;
    await this.settle();
    for (let next = this.nextDue(target); next !== undefined; next = this.nextDue(target)) {
      this.fire(next);
      await this.settle();
    }
    this.currentTime = target;
  }

  /** Moves time without firing anything, as a paused process would see it on waking. */
  public skip(milliseconds: number): void {
    this.currentTime += milliseconds;
  }

  /** Lets pending promise callbacks and js-csp processes run without moving time. */
  public async settle(): Promise<void> {
    for (let round = 0; round < SETTLE_ROUNDS; round++) {
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }

  /** Number of timers waiting. */
  public get pending(): number {
    return this.scheduled.size;
  }

  private schedule(
    delay: number,
    callback: () => void,
    intervalMilliseconds: number | undefined,
  ): TimerSubscription {
    const timer: ScheduledTimer = {
      order: this.nextOrder++,
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
        (timer.dueAt === earliest.dueAt && timer.order < earliest.order)
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
