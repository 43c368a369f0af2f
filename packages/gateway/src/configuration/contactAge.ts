import type { TimerService } from '@zincring/core';

/** Simultaneous reading of both clocks, in milliseconds. */
export interface ClockReading {
  readonly monotonic: number;
  readonly wall: number;
}

/**
 * Reads the monotonic clock and the wall clock.
 *
 * @example
 * const sentAt = readClocks(timers);
 */
export function readClocks(timers: TimerService): ClockReading {
  return { monotonic: timers.now(), wall: timers.wallClock() };
}

/**
 * Returns an upper estimate of the elapsed time, in milliseconds. The monotonic clock stops while an
 * instance is suspended, and the wall clock may be set back, so the larger of the two differences
 * counts.
 *
 * @example
 * elapsedSince(timers, sentAt); // 12
 */
export function elapsedSince(timers: TimerService, { monotonic, wall }: ClockReading): number {
  return Math.max(timers.now() - monotonic, timers.wallClock() - wall);
}

/** Time between two confirmations from which changes in between may have been missed, in milliseconds. */
export const MAXIMUM_CONTACT_GAP_MILLISECONDS = 2_500;
/** Time that the wall clock may gain on the monotonic clock between two confirmations, in milliseconds: more shows a suspension. */
const MAXIMUM_CLOCK_DRIFT_MILLISECONDS = 250;

/**
 * Tracks the time since the data that this process has read from the store was last confirmed to be
 * current. An answered request is a confirmation; it counts from the time at which it was sent.
 *
 * @example
 * const age = new ContactAge(timers);
 * age.confirm(sentAt);
 * age.milliseconds(); // 12
 */
export class ContactAge {
  private confirmedAt: ClockReading | undefined;
  private interruptions = 0;

  public constructor(private readonly timers: TimerService) {}

  /** Records an answered request by the time at which it was sent; older confirmations have no effect. */
  public confirm(sentAt: ClockReading): void {
    if (this.confirmedAt !== undefined && sentAt.monotonic <= this.confirmedAt.monotonic) {
      return;
    }
    if (this.confirmedAt !== undefined && isInterruption(this.confirmedAt, sentAt)) {
      this.interruptions++;
    }
    this.confirmedAt = sentAt;
  }

  /** Number of times that confirmations were too far apart, or that the machine was suspended between two of them. */
  public get interruptionCount(): number {
    return this.interruptions;
  }

  /** Age of the last confirmation, in milliseconds; infinite before the first one. */
  public milliseconds(): number {
    return this.confirmedAt === undefined ? Infinity : elapsedSince(this.timers, this.confirmedAt);
  }
}

function isInterruption(previous: ClockReading, next: ClockReading): boolean {
  const monotonic = next.monotonic - previous.monotonic;
  const wall = next.wall - previous.wall;
  return (
    Math.max(monotonic, wall) > MAXIMUM_CONTACT_GAP_MILLISECONDS ||
    wall - monotonic > MAXIMUM_CLOCK_DRIFT_MILLISECONDS
  );
}
