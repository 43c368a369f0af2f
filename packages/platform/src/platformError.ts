/**
 * Kind of failure of a platform operation: `unavailable` means that the operation certainly did not
 * take effect, `rate-limited` the same because callers exceed the platform's rate, and
 * `outcome-unknown` that it may have taken effect.
 */
export type PlatformFailure = 'outcome-unknown' | 'rate-limited' | 'unavailable';

/**
 * Failure of a platform operation. A conflict is not a failure but an outcome of the operation.
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
