/** Outcome of asking a schedule for a permit. */
export type ScheduledPermit =
  /** The request may be sent after the delay, in milliseconds. */
  | { readonly kind: 'granted'; readonly delayMilliseconds: number }
  /** No permit is free within the maximum wait; the next one is after this time, in milliseconds. */
  | { readonly kind: 'denied'; readonly retryAfterMilliseconds: number };

/** Unused time that permits may make up for at once, in milliseconds. */
const BURST_MILLISECONDS = 500;
/**
 * Minimum rate, in requests per second. Only a response shows that a replica accepts more, so some
 * requests are sent even if it announces a rate of 0.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;

/**
 * Spaces the requests to one replica evenly (the generic cell rate algorithm). Any window of T seconds
 * contains at most `1 + rate * (T + 0.5)` permits.
 *
 * @example
 * const schedule = new PermitSchedule(2, timers.now());
 * schedule.take(timers.now(), 400); // { delayMilliseconds: 0, kind: 'granted' }
 * schedule.take(timers.now(), 400); // { kind: 'denied', retryAfterMilliseconds: 500 }
 */
export class PermitSchedule {
  private intervalMilliseconds: number;
  /** Time of the next permit on the monotonic clock, in milliseconds. */
  private nextAt: number;

  /** @param now time on the monotonic clock, in milliseconds */
  public constructor(requestsPerSecond: number, now: number) {
    this.intervalMilliseconds = toInterval(requestsPerSecond);
    this.nextAt = now;
  }

  /** Changes the rate; the share of an interval that has passed is kept. */
  public changeRate(requestsPerSecond: number, now: number): void {
    const intervalMilliseconds = toInterval(requestsPerSecond);
    if (intervalMilliseconds === this.intervalMilliseconds) {
      return;
    }
    const scale = intervalMilliseconds / this.intervalMilliseconds;
    this.nextAt = now + (this.nextAt - now) * scale;
    this.intervalMilliseconds = intervalMilliseconds;
  }

  /**
   * Takes the next permit if it is free within the maximum wait, in milliseconds.
   *
   * @param burstMilliseconds unused time that permits may make up for at once, in milliseconds
   */
  public take(
    now: number,
    maximumWaitMilliseconds: number,
    burstMilliseconds = BURST_MILLISECONDS,
  ): ScheduledPermit {
    this.nextAt = Math.max(this.nextAt, now - burstMilliseconds);
    const delayMilliseconds = Math.max(0, this.nextAt - now);
    if (delayMilliseconds > maximumWaitMilliseconds) {
      return { kind: 'denied', retryAfterMilliseconds: delayMilliseconds };
    }
    this.nextAt += this.intervalMilliseconds;
    return { delayMilliseconds, kind: 'granted' };
  }
}

function toInterval(requestsPerSecond: number): number {
  return 1_000 / Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
}
