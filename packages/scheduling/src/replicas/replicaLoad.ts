import type { LoadReport } from './replicaChooser.js';

interface InFlightChange {
  readonly at: number;
  readonly inFlight: number;
}

/** Changes of the own work in flight that are kept, at most. */
const MAX_CHANGES = 64;
/** Weight of the newest sample in a moving average. */
const SMOOTHING = 0.1;

/**
 * The load of one replica as this instance can know it: the last report, which lags behind, with
 * its own share of then replaced by its own work of now.
 *
 * @example
 * const load = new ReplicaLoad(2_000);
 * load.noteDispatch(timers.now());
 * load.predictedCalls; // 1
 */
export class ReplicaLoad {
  /** Time until which the replica gets no new work. */
  public suspectedUntil = -Infinity;
  private readonly changes: InFlightChange[] = [];
  private inFlight = 0;
  private othersInFlight = 0;

  /** @param callMilliseconds expected time of a call before any was measured */
  public constructor(private callMilliseconds: number) {}

  /** Own calls in flight. */
  public get ownInFlight(): number {
    return this.inFlight;
  }

  /** Calls at the replica, from all instances. */
  public get predictedCalls(): number {
    return this.othersInFlight + this.inFlight;
  }

  /** Moving average of the time that calls take at the replica, in milliseconds. */
  public get meanCallMilliseconds(): number {
    return this.callMilliseconds;
  }

  /** Counts a call as sent. */
  public noteDispatch(now: number): void {
    this.changeInFlight(1, now);
  }

  /** Counts a call as ended. */
  public noteEnd(durationMilliseconds: number, now: number): void {
    this.changeInFlight(-1, now);
    this.callMilliseconds += SMOOTHING * (durationMilliseconds - this.callMilliseconds);
  }

  /** Takes in a report. */
  public observe({ measuredAt, running, waiting }: LoadReport): void {
    this.othersInFlight = Math.max(0, running + waiting - this.inFlightAt(measuredAt));
  }

  private changeInFlight(difference: number, now: number): void {
    this.inFlight = Math.max(0, this.inFlight + difference);
    this.changes.push({ at: now, inFlight: this.inFlight });
    if (this.changes.length > MAX_CHANGES) {
      this.changes.splice(0, MAX_CHANGES / 2);
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
