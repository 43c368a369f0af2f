import { ZincringError } from '@zincring/core';

import { HomeUnreachableError } from './homeUnreachableError.js';

/** Limits of the retries of a request to the home of a program. */
export interface HomeRetryOptions {
  /** Returns the monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Maximum time without a response from a home before the request fails, in milliseconds. */
  readonly maximumWaitMilliseconds: number;
  /** Deadline on the clock of {@link HomeRetryOptions.now}, after which nothing is retried. */
  readonly deadline: number;
}

/** Decides whether a failed attempt is retried, and which error the caller gets when it is not. */
export class HomeRetry {
  /** Length of the response at the last {@link HomeRetry.recordProgress}, in bytes. */
  public recordedLength = 0;
  private failingSince: number | undefined;
  private mayHaveRun = false;

  public constructor(private readonly options: HomeRetryOptions) {}

  /** Restarts the maximum wait because more of the response has arrived. */
  public recordProgress(recordedLength: number): void {
    this.recordedLength = recordedLength;
    this.failingSince = undefined;
    this.mayHaveRun = true;
  }

  /** Records a failed attempt; returns the error for the caller once no other attempt is due. */
  public recordFailure(error: ZincringError): ZincringError | undefined {
    const now = this.options.now();
    this.failingSince ??= now;
    const isRetryable = error instanceof HomeUnreachableError || error.kind === 'shard-unavailable';
    const { deadline, maximumWaitMilliseconds } = this.options;
    if (isRetryable && now < Math.min(deadline, this.failingSince + maximumWaitMilliseconds)) {
      this.mayHaveRun ||= error.ran !== 'no';
      return undefined;
    }
    return this.mayHaveRun && error.ran === 'no' ? withUncertainOutcome(error) : error;
  }
}

/** Marks an error as "may have run": the last attempt did not run, but an earlier one may have. */
function withUncertainOutcome(error: ZincringError): ZincringError {
  const kind = error.kind === 'shard-unavailable' ? 'call-interrupted' : error.kind;
  return new ZincringError(kind, {
    ran: 'maybe',
    retryAfterSeconds: error.retryAfterSeconds,
    ...(error.detail === undefined ? {} : { detail: error.detail }),
    ...(error.resume === undefined ? {} : { resume: error.resume }),
  });
}
