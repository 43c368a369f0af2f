/** Bounds of a {@link computeBackoffMilliseconds}. */
export interface BackoffOptions {
  readonly initialMilliseconds: number;
  readonly maximumMilliseconds: number;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/**
 * Returns the pause before another try: it doubles with each failure up to a maximum and varies by
 * half, so that instances that failed together do not try again together.
 *
 * @example
 * computeBackoffMilliseconds(3, { initialMilliseconds: 30, maximumMilliseconds: 500, random }); // 60 to 180
 */
export function computeBackoffMilliseconds(
  failures: number,
  { initialMilliseconds, maximumMilliseconds, random }: BackoffOptions,
): number {
  const pauseMilliseconds = Math.min(
    maximumMilliseconds,
    initialMilliseconds * 2 ** (failures - 1),
  );
  return pauseMilliseconds * (0.5 + random());
}
