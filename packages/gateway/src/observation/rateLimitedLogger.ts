import type { LogFields, Logger, TimerService } from '@zincring/core';

/** Bounds of a {@link RateLimitedLogger}, in lines per second. */
export interface RateLimitedLoggerOptions {
  /** Bound on lines of level `info`; further ones are dropped. */
  readonly infoLinesPerSecond: number;
  /** Bound on warnings and errors: far above the rate at which a healthy instance writes them. */
  readonly failureLinesPerSecond: number;
}

/** Options that keep the log of an instance below some hundred kilobytes per second in the worst case. */
export const defaultRateLimitedLoggerOptions: RateLimitedLoggerOptions = {
  failureLinesPerSecond: 200,
  infoLinesPerSecond: 40,
};

/** Interval between reports of dropped lines. */
const REPORT_INTERVAL_MILLISECONDS = 5_000;

/** Limits the lines written in each second. */
class LineLimiter {
  private currentSecond = -Infinity;
  private remaining = 0;

  public constructor(private readonly linesPerSecond: number) {}

  public tryAcquire(now: number): boolean {
    const currentSecond = Math.floor(now / 1_000);
    if (currentSecond !== this.currentSecond) {
      this.currentSecond = currentSecond;
      this.remaining = this.linesPerSecond;
    }
    this.remaining--;
    return this.remaining >= 0;
  }
}

/**
 * Logger with a bounded rate. Lines of level `info` share one bound, warnings and errors another;
 * lines beyond a bound are dropped, counted and reported. Lines of level `debug` are not bounded.
 *
 * @example
 * const logger = new RateLimitedLogger(createLogger('info'), timers, defaultRateLimitedLoggerOptions);
 */
export class RateLimitedLogger implements Logger {
  private readonly infoLimiter: LineLimiter;
  private readonly failureLimiter: LineLimiter;
  private droppedLines = { failures: 0, usual: 0 };

  public constructor(
    private readonly inner: Logger,
    private readonly timers: TimerService,
    private readonly options: RateLimitedLoggerOptions,
  ) {
    this.infoLimiter = new LineLimiter(options.infoLinesPerSecond);
    this.failureLimiter = new LineLimiter(options.failureLinesPerSecond);
    timers.every(REPORT_INTERVAL_MILLISECONDS, () => {
      this.reportDroppedLines();
    });
  }

  public debug(fields: LogFields, message: string): void {
    this.inner.debug(fields, message);
  }

  public info(fields: LogFields, message: string): void {
    if (this.infoLimiter.tryAcquire(this.timers.now())) {
      this.inner.info(fields, message);
      return;
    }
    this.droppedLines.usual++;
  }

  public warn(fields: LogFields, message: string): void {
    if (this.failureLimiter.tryAcquire(this.timers.now())) {
      this.inner.warn(fields, message);
      return;
    }
    this.droppedLines.failures++;
  }

  public error(fields: LogFields, message: string): void {
    if (this.failureLimiter.tryAcquire(this.timers.now())) {
      this.inner.error(fields, message);
      return;
    }
    this.droppedLines.failures++;
  }

  public child(fields: LogFields): Logger {
    return new RateLimitedLogger(this.inner.child(fields), this.timers, this.options);
  }

  private reportDroppedLines(): void {
    const { failures, usual } = this.droppedLines;
    if (failures + usual === 0) {
      return;
    }
    this.droppedLines = { failures: 0, usual: 0 };
    this.inner.warn(
      { event: 'lines-dropped', failures, usual },
      'log lines were dropped because the log was over its rate',
    );
  }
}
