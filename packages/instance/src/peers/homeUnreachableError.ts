import { ZincringError } from '@zincring/core';

/**
 * Raised when the home of a program gave no answer, or an incomplete one. Unlike a refusal that the
 * home sent, it may be retried after another lookup of the home: calls carry ids, and a home never
 * starts a call that may have run with side effects.
 */
export class HomeUnreachableError extends ZincringError {
  /** @param mayHaveReachedHome whether the request may have reached the home */
  public constructor(
    public readonly mayHaveReachedHome: boolean,
    detail?: string,
  ) {
    super(mayHaveReachedHome ? 'call-interrupted' : 'shard-unavailable', {
      ...(detail === undefined ? {} : { detail }),
    });
    this.name = 'HomeUnreachableError';
  }
}
