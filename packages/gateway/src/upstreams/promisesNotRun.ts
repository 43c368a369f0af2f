/** Statuses by which callers know that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether a caller takes a status for the promise that its request has not run.
 *
 * @example
 * promisesNotRun(503); // true
 * promisesNotRun(502); // false: the request may have run
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
