import type { TimerService } from '@zincring/core';

import type { ReplicaRunId } from '../replica.js';

/** A measurement of one run of a replica, as instances tell each other. */
export interface SlownessReport {
  readonly run: ReplicaRunId;
  /** Measured time over that of the service. */
  readonly ratio: number;
  /** Time since the measurement, in milliseconds. */
  readonly ageMilliseconds: number;
}

interface Measurement {
  readonly run: ReplicaRunId;
  readonly ratio: number;
  readonly at: number;
}

/** Maximum number of measurements in one reply. */
const MAXIMUM_REPORTS = 4;
/** Age beyond which a measurement is neither told nor taken in, in milliseconds. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 2_000;
/** Ratio from which a measurement deviates so much that other instances should know. */
const DEVIATING_RATIO = 1.5;
/** Bounds of ratios that are taken in. */
const ACCEPTABLE_RATIOS = { highest: 1_000, lowest: 0.001 };

/**
 * Whether a measurement of another instance is recent and of a possible size.
 *
 * @example
 * isAcceptableReport({ ageMilliseconds: 40, ratio: 2.5, run }); // true
 */
export function isAcceptableReport({ ageMilliseconds, ratio }: SlownessReport): boolean {
  return (
    ageMilliseconds >= 0 &&
    ageMilliseconds <= MAXIMUM_REPORT_AGE_MILLISECONDS &&
    ratio >= ACCEPTABLE_RATIOS.lowest &&
    ratio <= ACCEPTABLE_RATIOS.highest
  );
}

/**
 * The few latest measurements that other instances should know, one of each replica: those that deviate,
 * and all of replicas that are judged slow, since these tell when a replica is well again. What others
 * measured is passed on, so that all instances know the latest within a few replies.
 *
 * @example
 * reports.add('r1@1' as ReplicaRunId, 2.5, false);
 * reports.list(); // [{ ageMilliseconds: 0, ratio: 2.5, run: 'r1@1' }]
 */
export class SlownessReports {
  private measurements: readonly Measurement[] = [];

  public constructor(private readonly timers: TimerService) {}

  /** Adds a measurement of this instance if others should know it. */
  public add(run: ReplicaRunId, ratio: number, isSlow: boolean): void {
    if (ratio >= DEVIATING_RATIO || isSlow) {
      this.keep({ at: this.timers.now(), ratio, run });
    }
  }

  /** Adds a measurement of another instance, to be passed on. */
  public pass(run: ReplicaRunId, ratio: number, measuredAt: number): void {
    this.keep({ at: measuredAt, ratio, run });
  }

  /** Lists the measurements that are recent. */
  public list(): readonly SlownessReport[] {
    if (this.measurements.length === 0) {
      return [];
    }
    const now = this.timers.now();
    this.measurements = this.measurements.filter(
      ({ at }) => now - at <= MAXIMUM_REPORT_AGE_MILLISECONDS,
    );
    return this.measurements.map(({ at, ratio, run }) => ({
      ageMilliseconds: Math.round(now - at),
      ratio: Number(ratio.toFixed(2)),
      run,
    }));
  }

  private keep(measurement: Measurement): void {
    const others = this.measurements.filter(({ run }) => run !== measurement.run);
    const later = others.filter(({ at }) => at > measurement.at);
    this.measurements = [...later, measurement, ...others.slice(later.length)].slice(
      0,
      MAXIMUM_REPORTS,
    );
  }
}
