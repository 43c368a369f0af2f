/** Rate that a replica announced, as an instance last observed it. */
export interface AnnouncedRate {
  /** Requests per second from all instances together; `undefined` if the replica accepts any rate. */
  readonly requestsPerSecond?: number | undefined;
  /** Time since the response that announced it, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Rate that a replica announced, with the time of the announcement. */
export interface RateObservation {
  readonly requestsPerSecond: number | undefined;
  /** Time of the response, on the monotonic clock of this instance, in milliseconds. */
  readonly observedAt: number;
}

/**
 * Converts the rate that another instance reports to an observation on the clock of this one.
 *
 * @param now time on the monotonic clock, in milliseconds
 * @example
 * toObservation({ ageMilliseconds: 40, requestsPerSecond: 3 }, 1_000); // observed at 960
 */
export function toObservation(
  { ageMilliseconds, requestsPerSecond }: AnnouncedRate,
  now: number,
): RateObservation {
  return { observedAt: now - ageMilliseconds, requestsPerSecond };
}

/**
 * Converts an observation to a message for another instance.
 *
 * @param now time on the monotonic clock, in milliseconds
 * @example
 * toAnnouncedRate({ observedAt: 960, requestsPerSecond: 3 }, 1_000); // 40 ms old
 */
export function toAnnouncedRate(
  { observedAt, requestsPerSecond }: RateObservation,
  now: number,
): AnnouncedRate {
  return { ageMilliseconds: now - observedAt, requestsPerSecond };
}
