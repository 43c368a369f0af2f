import type { LogFields, Logger, TimerService } from '@zincring/core';

/** Bounds of a {@link DecisionLog}, in lines a second. */
export interface DecisionLogOptions {
  /** Lines on what went as usual; beyond it they are dropped. */
  readonly usualPerSecond: number;
  /** Lines on failures and changes; far above what a healthy instance writes. */
  readonly failuresPerSecond: number;
}

/** Options that keep an instance's log below some hundred kilobytes a second at the worst. */
export const defaultDecisionLogOptions: DecisionLogOptions = {
  failuresPerSecond: 200,
  usualPerSecond: 40,
};

/** How often dropped lines are reported, in milliseconds. */
const REPORT_MILLISECONDS = 5_000;

/** Lines that may still be written in the second under way. */
class LineAllowance {
  private second = -Infinity;
  private left = 0;

  public constructor(private readonly perSecond: number) {}

  public take(now: number): boolean {
    const second = Math.floor(now / 1_000);
    if (second !== this.second) {
      this.second = second;
      this.left = this.perSecond;
    }
    this.left--;
    return this.left >= 0;
  }
}

/**
 * A logger whose volume is bounded: lines at level `info` are sampled under load, warnings and
 * errors have a bound of their own, and what was dropped is counted and reported.
 *
 * @example
 * const log = new DecisionLog(createLogger('info'), timers, defaultDecisionLogOptions);
 */
export class DecisionLog implements Logger {
  private readonly usual: LineAllowance;
  private readonly failures: LineAllowance;
  private dropped = { failures: 0, usual: 0 };

  public constructor(
    private readonly inner: Logger,
    private readonly timers: TimerService,
    private readonly options: DecisionLogOptions,
  ) {
    this.usual = new LineAllowance(options.usualPerSecond);
    this.failures = new LineAllowance(options.failuresPerSecond);
    timers.every(REPORT_MILLISECONDS, () => {
      this.report();
    });
  }

  public debug(fields: LogFields, message: string): void {
    this.inner.debug(fields, message);
  }

  public info(fields: LogFields, message: string): void {
    if (this.usual.take(this.timers.now())) {
      this.inner.info(fields, message);
      return;
    }
    this.dropped.usual++;
  }

  public warn(fields: LogFields, message: string): void {
    if (this.failures.take(this.timers.now())) {
      this.inner.warn(fields, message);
      return;
    }
    this.dropped.failures++;
  }

  public error(fields: LogFields, message: string): void {
    if (this.failures.take(this.timers.now())) {
      this.inner.error(fields, message);
      return;
    }
    this.dropped.failures++;
  }

  public child(fields: LogFields): Logger {
    return new DecisionLog(this.inner.child(fields), this.timers, this.options);
  }

  private report(): void {
    const { failures, usual } = this.dropped;
    if (failures + usual === 0) {
      return;
    }
    this.dropped = { failures: 0, usual: 0 };
    this.inner.warn({ event: 'lines-dropped', failures, usual }, 'the log was over its bound');
  }
}
