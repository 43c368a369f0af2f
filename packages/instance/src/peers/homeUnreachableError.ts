import { ZincringError } from '@zincring/core';

/**
 * Raised when the home of a program gave no response, or an incomplete one. Unlike after a refusal
 * that the home sent, the request may be retried after another lookup of the home: calls carry ids,
 * and a home never starts a call with side effects that may have run before.
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
