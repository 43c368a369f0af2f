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
 * Time that has passed at most, in milliseconds: the steady clock stands still while an instance is
 * suspended, and the wall clock may be set back, so the larger of the two elapsed times counts.
 *
 * @example
 * elapsedSince(timers, sentAt); // 12
 */
export function elapsedSince(timers: TimerService, { steady, wall }: Moment): number {
  return Math.max(timers.now() - steady, timers.wallClock() - wall);
}

/**
 * Time since the last proof that what this process believes was current, in milliseconds. A proof
 * is a request to the store that was answered; it counts from when the request was sent.
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
    return this.provenAt === undefined ? Infinity : elapsedSince(this.timers, this.provenAt);
  }
}
