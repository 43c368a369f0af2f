/** Bounds of an {@link AdaptiveTimeout}. */
export interface AdaptiveTimeoutOptions {
  readonly minimumMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/** Timeout as a multiple of the average response time. */
const TIMEOUT_MULTIPLE = 4;
/** Weight of the latest response in the moving average of the response times. */
const LATEST_RESPONSE_WEIGHT = 0.3;

/**
 * Timeout for the next response: a multiple of the recent average response time. It doubles
 * after each timeout until a response arrives, within the bounds of the options. Lost responses are
 * thus detected early, and a service that has become slow still gets enough time to respond.
 *
 * @example
 * const timeout = new AdaptiveTimeout({ maximumMilliseconds: 1_500, minimumMilliseconds: 250 });
 */
export class AdaptiveTimeout {
  private averageMilliseconds = 0;
  private lowerBoundMilliseconds: number;

  public constructor(private readonly options: AdaptiveTimeoutOptions) {
    this.lowerBoundMilliseconds = options.minimumMilliseconds;
  }

  /** Timeout for the next response, in milliseconds. */
  public get milliseconds(): number {
    const timeoutMilliseconds = Math.max(
      this.lowerBoundMilliseconds,
      TIMEOUT_MULTIPLE * this.averageMilliseconds,
    );
    return Math.round(Math.min(this.options.maximumMilliseconds, timeoutMilliseconds));
  }

  /** Records the time that a response took. */
  public recordResponse(responseMilliseconds: number): void {
    this.averageMilliseconds +=
      (responseMilliseconds - this.averageMilliseconds) * LATEST_RESPONSE_WEIGHT;
    this.lowerBoundMilliseconds = this.options.minimumMilliseconds;
  }

  /** Records that no response arrived within the timeout. */
  public recordTimeout(): void {
    this.lowerBoundMilliseconds = Math.min(this.options.maximumMilliseconds, this.milliseconds * 2);
  }
}
