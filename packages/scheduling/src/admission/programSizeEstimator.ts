/** Initial estimate of the requests per program. */
const INITIAL_REQUESTS_PER_PROGRAM = 10;
/** Weight of the initial estimate, as a number of observed programs. */
const INITIAL_WEIGHT_PROGRAMS = 3;
/** Factor by which earlier observations decay with each further program. */
const DECAY_PER_PROGRAM = 0.98;
/** Bounds of the estimate, in requests per program. */
const ESTIMATE_BOUNDS_REQUESTS = { maximum: 60, minimum: 2 };

/**
 * Estimates how many requests a program makes, as an exponentially decayed average over the
 * requests and program starts that this instance sees.
 *
 * @example
 * estimator.recordRequest();
 * estimator.recordProgramStart();
 * estimator.requestsPerProgram; // about 10 while there are few observations
 */
export class ProgramSizeEstimator {
  private decayedRequests = INITIAL_REQUESTS_PER_PROGRAM * INITIAL_WEIGHT_PROGRAMS;
  private decayedPrograms = INITIAL_WEIGHT_PROGRAMS;

  /** Estimated number of requests per program. */
  public get requestsPerProgram(): number {
    const { maximum, minimum } = ESTIMATE_BOUNDS_REQUESTS;
    return Math.min(maximum, Math.max(minimum, this.decayedRequests / this.decayedPrograms));
  }

  /** Records a request of any program. */
  public recordRequest(): void {
    this.decayedRequests++;
  }

  /** Records the first turn of a program. */
  public recordProgramStart(): void {
    this.decayedRequests *= DECAY_PER_PROGRAM;
    this.decayedPrograms = this.decayedPrograms * DECAY_PER_PROGRAM + 1;
  }
}
