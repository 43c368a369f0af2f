import type { TimerService } from '@zincring/core';

/** A moment on both clocks. */
export interface Moment {
  readonly steady: number;
  readonly wall: number;
}

/**
 * Reads both clocks.
 *
 * @example
 * const sentAt = momentOf(timers);
 */
export function momentOf(timers: TimerService): Moment {
  return { steady: timers.now(), wall: timers.wallClock() };
}

/**
 * Time since the last proof that what this process believes was current, in milliseconds. A proof
 * is a request to the store that was answered; it counts from when the request was sent. The
 * steady clock stands still while an instance is suspended, and the wall clock may be set back, so
 * the larger of the two elapsed times counts.
 *
 * @example
 * const age = new ContactAge(timers);
 * age.prove(sentAt);
 * age.milliseconds(); // 12
 */
export class ContactAge {
  private provenAt: Moment | undefined;

  public constructor(private readonly timers: TimerService) {}

  /** Takes in an answered request by when it was sent; older proofs change nothing. */
  public prove(sentAt: Moment): void {
    if (this.provenAt === undefined || sentAt.steady > this.provenAt.steady) {
      this.provenAt = sentAt;
    }
  }

  /** Age of the last proof; infinite before the first one. */
  public milliseconds(): number {
    if (this.provenAt === undefined) {
      return Infinity;
    }
    const steady = this.timers.now() - this.provenAt.steady;
    const wall = this.timers.wallClock() - this.provenAt.wall;
    return Math.max(steady, wall);
  }
}
