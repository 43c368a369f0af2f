/** Requests of a usual program, assumed before any was seen. */
const ASSUMED_REQUESTS = 10;
/** Programs as which the assumption counts. */
const ASSUMED_WEIGHT = 3;
/** Share of what was seen before that still counts after each further program. */
const MEMORY = 0.98;
/** Bounds of the estimate, in requests. */
const BOUNDS = { largest: 60, smallest: 2 };

/**
 * Estimates how many requests a program makes, from the requests and the beginnings
 * that this instance sees.
 *
 * @example
 * size.noteRequest();
 * size.noteBeginning();
 * size.requests; // about 10 before much was seen
 */
export class ProgramSize {
  private seenRequests = ASSUMED_REQUESTS * ASSUMED_WEIGHT;
  private beginnings = ASSUMED_WEIGHT;

  /** Requests of a usual program. */
  public get requests(): number {
    const { largest, smallest } = BOUNDS;
    return Math.min(largest, Math.max(smallest, this.seenRequests / this.beginnings));
  }

  /** Takes in a request of any program. */
  public noteRequest(): void {
    this.seenRequests++;
  }

  /** Takes in the first turn of a program. */
  public noteBeginning(): void {
    this.seenRequests *= MEMORY;
    this.beginnings = this.beginnings * MEMORY + 1;
  }
}
