import type { SoftwareVersion } from './replica.js';

/** A period in which the registered versions of a service did not change; it ends where the next one starts. */
export interface VersionPeriod {
  /** Start on the monotonic clock, in milliseconds. */
  readonly startedAt: number;
  readonly versions: ReadonlySet<SoftwareVersion>;
}

/**
 * Adds a period unless its versions are those of the last one, and removes periods that ended before
 * a time.
 *
 * @example
 * appendPeriod([], { startedAt: 0, versions: new Set(['v1']) }, -60_000); // one period
 */
export function appendPeriod(
  periods: readonly VersionPeriod[],
  period: VersionPeriod,
  keptSince: number,
): readonly VersionPeriod[] {
  const last = periods.at(-1);
  const isSame = last !== undefined && isSameSet(last.versions, period.versions);
  return listPeriodsSince(isSame ? periods : [...periods, period], keptSince);
}

/**
 * Returns the periods that had not ended at a time.
 *
 * @example
 * listPeriodsSince(periods, timers.now() - 6_000);
 */
export function listPeriodsSince(
  periods: readonly VersionPeriod[],
  time: number,
): readonly VersionPeriod[] {
  return periods.filter((_period, index) => (periods[index + 1]?.startedAt ?? Infinity) >= time);
}

/**
 * Returns the versions at a time; `undefined` if the periods start later.
 *
 * @example
 * findVersionsAt(periods, timers.now() - 6_000); // Set { 'v1' }
 */
export function findVersionsAt(
  periods: readonly VersionPeriod[],
  time: number,
): ReadonlySet<SoftwareVersion> | undefined {
  return periods.findLast(({ startedAt }) => startedAt <= time)?.versions;
}

/**
 * Whether two sets hold the same versions.
 *
 * @example
 * isSameSet(new Set(['v1']), new Set(['v1'])); // true
 */
export function isSameSet(
  left: ReadonlySet<SoftwareVersion> | undefined,
  right: ReadonlySet<SoftwareVersion>,
): boolean {
  return left?.size === right.size && [...left].every(version => right.has(version));
}
