import { ZincringError } from '@zincring/core';

import { HomeUnreachableError } from './homeUnreachableError.js';

/** How long the home of a program is looked for. */
export interface HomeSearchOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** How long a program without a home that answers is waited for, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Time of {@link HomeSearchOptions.now} after which nothing is waited for. */
  readonly deadline: number;
}

/** Decides whether a failed attempt is followed by another, and what the final refusal may say. */
export class HomeSearch {
  /** Bytes of the answer that had come when the search last started over. */
  public lengthSeen = 0;
  private failingSince: number | undefined;
  private mayHaveRun = false;

  public constructor(private readonly options: HomeSearchOptions) {}

  /** Starts the wait over: the answer has grown. */
  public restart(lengthSeen: number): void {
    this.lengthSeen = lengthSeen;
    this.failingSince = undefined;
    this.mayHaveRun = true;
  }

  /** Notes a failed attempt; gives the refusal for the caller once no other attempt is due. */
  public note(error: ZincringError): ZincringError | undefined {
    const now = this.options.now();
    this.failingSince ??= now;
    const isPassing = error instanceof HomeUnreachableError || error.kind === 'shard-unavailable';
    const { deadline, waitMilliseconds } = this.options;
    if (isPassing && now < Math.min(deadline, this.failingSince + waitMilliseconds)) {
      this.mayHaveRun ||= error.ran !== 'no';
      return undefined;
    }
    return this.mayHaveRun && error.ran === 'no' ? weaken(error) : error;
  }
}

/** An earlier attempt may have run, so a refusal of a later one cannot say that nothing ran. */
function weaken(error: ZincringError): ZincringError {
  const kind = error.kind === 'shard-unavailable' ? 'call-interrupted' : error.kind;
  return new ZincringError(kind, {
    ran: 'maybe',
    retryAfterSeconds: error.retryAfterSeconds,
    ...(error.detail === undefined ? {} : { detail: error.detail }),
    ...(error.resume === undefined ? {} : { resume: error.resume }),
  });
}
