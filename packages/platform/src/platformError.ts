/**
 * How an operation on the platform failed: `unavailable` means that it certainly did not take
 * effect, `outcome-unknown` that it may have.
 */
export type PlatformFailure = 'outcome-unknown' | 'unavailable';

/**
 * A failed operation on the platform. Conflicts are no failures: they are outcomes.
 *
 * @example
 * if (error.failure === 'outcome-unknown') { … read back … }
 */
export class PlatformError extends Error {
  public constructor(
    public readonly failure: PlatformFailure,
    detail: string,
  ) {
    super(`${failure}: ${detail}`);
    this.name = 'PlatformError';
  }
}
