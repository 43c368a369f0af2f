import { ZincringError } from '@zincring/core';

/**
 * The home of a program gave no answer, or none that is whole. Unlike a refusal that the home sent,
 * it may be followed by another look for the home: calls carry ids, and a home never starts one
 * that may have run with effects.
 */
export class HomeUnreachableError extends ZincringError {
  /** @param hasReached whether the request may have reached the home */
  public constructor(
    public readonly hasReached: boolean,
    detail?: string,
  ) {
    super(hasReached ? 'call-interrupted' : 'shard-unavailable', {
      ...(detail === undefined ? {} : { detail }),
    });
    this.name = 'HomeUnreachableError';
  }
}
