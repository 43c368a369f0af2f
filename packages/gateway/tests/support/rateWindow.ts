import type { RateLimit } from '../../src/limits/workspaceBucket.js';

/** Length of the window in which the operator counts the requests of a workspace, in seconds. */
const WINDOW_SECONDS = 5;
const OVERAGE_SHARE = 0.1;
const SLACK_REQUESTS = 20;

/** Maximum number of requests that the operator tolerates in one window. */
export function computeMaximumRequestsPerWindow({ burst, ratePerSecond }: RateLimit): number {
  return (ratePerSecond * WINDOW_SECONDS + burst) * (1 + OVERAGE_SHARE) + SLACK_REQUESTS;
}

/** Counts the requests of the busiest window; the times are in milliseconds. */
export function countRequestsInBusiestWindow(times: readonly number[]): number {
  const windowMilliseconds = WINDOW_SECONDS * 1_000;
  const counts = times.map(
    end => times.filter(time => time <= end && time > end - windowMilliseconds).length,
  );
  return Math.max(0, ...counts);
}
