import type { LoadReport } from './replicaChooser.js';

interface InFlightChange {
  readonly at: number;
  readonly inFlight: number;
}

/** Maximum number of recorded changes in this instance's calls in flight. */
const MAXIMUM_CHANGES = 64;
/** Weight of the newest sample in the moving average of call durations. */
const SMOOTHING_FACTOR = 0.1;

/**
 * Estimated load of one replica. The last report lags behind, so the calls of this instance that it
 * counted are replaced by those that are in flight now.
 *
 * @example
 * const load = new ReplicaLoad(2_000);
 * load.recordDispatch(timers.now());
 * load.predictedCalls; // 1
 */
export class ReplicaLoad {
  /** Monotonic time until which the replica gets no new work, in milliseconds. */
  public suspectedUntil = -Infinity;
  private readonly changes: InFlightChange[] = [];
  private inFlight = 0;
  private othersInFlight = 0;

  /** @param callMilliseconds expected duration of a call before any has been measured */
  public constructor(private callMilliseconds: number) {}

  /** Number of this instance's calls in flight. */
  public get ownInFlight(): number {
    return this.inFlight;
  }

  /** Estimated number of calls at the replica, from all instances. */
  public get predictedCalls(): number {
    return this.othersInFlight + this.inFlight;
  }

  /** Moving average of the duration of calls at the replica, in milliseconds. */
  public get meanCallMilliseconds(): number {
    return this.callMilliseconds;
  }

  /** Records that a call was sent. */
  public recordDispatch(now: number): void {
    this.changeInFlight(1, now);
  }

  /** Records the end of a call. */
  public recordEnd(durationMilliseconds: number, now: number): void {
    this.changeInFlight(-1, now);
    this.callMilliseconds += SMOOTHING_FACTOR * (durationMilliseconds - this.callMilliseconds);
  }

  /** Applies a load report. */
  public observe({ measuredAt, running, waiting }: LoadReport): void {
    this.othersInFlight = Math.max(0, running + waiting - this.inFlightAt(measuredAt));
  }

  private changeInFlight(difference: number, now: number): void {
    this.inFlight = Math.max(0, this.inFlight + difference);
    this.changes.push({ at: now, inFlight: this.inFlight });
    if (this.changes.length > MAXIMUM_CHANGES) {
      this.changes.splice(0, MAXIMUM_CHANGES / 2);
    }
  }

  private inFlightAt(time: number): number {
    for (let index = this.changes.length - 1; index >= 0; index--) {
      const change = this.changes[index];
      if (change !== undefined && change.at <= time) {
        return change.inFlight;
      }
    }
    return 0;
  }
}
