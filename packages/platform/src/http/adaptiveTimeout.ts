/** Bounds of an {@link AdaptiveTimeout}. */
export interface AdaptiveTimeoutOptions {
  readonly shortestMilliseconds: number;
  readonly longestMilliseconds: number;
}

/** Answers that take this many times the usual are given up on. */
const PATIENCE = 4;
/** Weight of the last answer in what counts as usual. */
const LAST_ANSWER_WEIGHT = 0.3;

/**
 * How long to wait for an answer: some times what answers took of late, and twice as long after
 * each wait in vain, so that neither a lost answer nor a slow service stops the work.
 *
 * @example
 * const timeout = new AdaptiveTimeout({ longestMilliseconds: 1_500, shortestMilliseconds: 250 });
 */
export class AdaptiveTimeout {
  private usual = 0;
  private floor: number;

  public constructor(private readonly options: AdaptiveTimeoutOptions) {
    this.floor = options.shortestMilliseconds;
  }

  /** The wait for the next answer, in milliseconds. */
  public get milliseconds(): number {
    const wait = Math.max(this.floor, PATIENCE * this.usual);
    return Math.round(Math.min(this.options.longestMilliseconds, wait));
  }

  /** Takes in an answer. */
  public noteAnswer(milliseconds: number): void {
    this.usual += (milliseconds - this.usual) * LAST_ANSWER_WEIGHT;
    this.floor = this.options.shortestMilliseconds;
  }

  /** Takes in a wait in vain. */
  public noteTimeout(): void {
    this.floor = Math.min(this.options.longestMilliseconds, this.milliseconds * 2);
  }
}
