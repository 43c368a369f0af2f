import { ProgramSizeEstimator } from './programSizeEstimator.js';

/** Mean and variance of values that change slowly. */
class DecayedMean {
  public count = 0;
  private variance = 0;

  public constructor(public mean: number) {}

  public get deviation(): number {
    return Math.sqrt(this.variance);
  }

  public record(value: number): void {
    this.count++;
    const weight = Math.max(VALUE_WEIGHT, 1 / this.count);
    const difference = value - this.mean;
    this.mean += weight * difference;
    this.variance = (1 - weight) * (this.variance + weight * difference * difference);
  }
}

/** Weight of one value in a mean once there are many. */
const VALUE_WEIGHT = 0.03;
/** Values below which the programs of a route are not known. */
const MINIMUM_VALUES = 10;
/** Initial estimate of the duration of a turn, in milliseconds. */
const INITIAL_TURN_MILLISECONDS = 400;
/** Least deviation of the time that programs have, as a share of its mean: smaller differences say nothing. */
const MINIMUM_DEVIATION_SHARE = 0.1;
/** Deviations below the usual time at which a program has been delayed too long before it starts. */
const LATE_DEVIATIONS = 2;
/** Share of the mean duration of a turn that none falls below. */
const LEAST_TURN_SHARE = 0.5;

/**
 * Learns what the programs of one route need: turns, their duration, and the time that callers give
 * them when they start, each with its spread.
 *
 * @example
 * work.recordStart(2_800);
 * work.recordTurn(240);
 * work.milliseconds; // time at engines of a whole program
 */
export class ProgramWork {
  private readonly size = new ProgramSizeEstimator();
  private readonly turn = new DecayedMean(INITIAL_TURN_MILLISECONDS);
  private readonly startTime = new DecayedMean(0);

  /** Estimated time at engines of all turns of a program, in milliseconds. */
  public get milliseconds(): number {
    return this.size.requestsPerProgram * this.turn.mean;
  }

  /** Records that a program asks to start, with the time until it should end. */
  public recordStart(programRemainingMilliseconds: number | undefined): void {
    this.size.recordProgramStart();
    if (programRemainingMilliseconds !== undefined) {
      this.startTime.record(programRemainingMilliseconds);
    }
  }

  /** Records that a turn has begun, whether the first of its program or a later one. */
  public recordRequest(): void {
    this.size.recordRequest();
  }

  /** Records the duration of a turn that has ended. */
  public recordTurn(milliseconds: number): void {
    this.turn.record(milliseconds);
  }

  /** Whether a program that starts now can end in time; true while too little is known. */
  public canEndInTime(programRemainingMilliseconds: number | undefined): boolean {
    if (programRemainingMilliseconds === undefined) {
      return true;
    }
    if (this.turn.count >= MINIMUM_VALUES) {
      const { deviation, mean } = this.turn;
      const least = Math.max(LEAST_TURN_SHARE * mean, mean - LATE_DEVIATIONS * deviation);
      if (programRemainingMilliseconds < least) {
        return false;
      }
    }
    const { count, deviation, mean } = this.startTime;
    const spread = Math.max(deviation, MINIMUM_DEVIATION_SHARE * mean);
    return (
      count < MINIMUM_VALUES || programRemainingMilliseconds >= mean - LATE_DEVIATIONS * spread
    );
  }
}
