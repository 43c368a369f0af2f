import type { Logger, TimerService, TimerSubscription } from '@zincring/core';

import type { StoreCall, StoreCallOutcome } from '../store/monitoredTable.js';

/** Interval between reports: short enough to follow an overload of the store through a log. */
const REPORT_INTERVAL_MILLISECONDS = 2_000;

/**
 * Logs how many calls this instance made to the store, by outcome and by table. The sum over all
 * instances is the load of the store, which limits all of them together.
 *
 * @example
 * reporter.record({ kind: 'read', milliseconds: 4, outcome: 'answered', table: 'rates' });
 * // after the interval: { "event": "store-calls", "answered": 1, "byTable": "rates read 1", … }
 */
export class StoreCallReporter {
  private outcomes = createOutcomeCounts();
  private readonly callsByTable = new Map<string, number>();
  private reportTimer: TimerSubscription | undefined;

  public constructor(
    private readonly timers: TimerService,
    private readonly logger: Logger,
  ) {}

  /** Starts periodic reports. */
  public start(): void {
    this.reportTimer = this.timers.every(REPORT_INTERVAL_MILLISECONDS, () => {
      this.report();
    });
  }

  /** Stops the reports. */
  public stop(): void {
    this.reportTimer?.stop();
  }

  /** Counts a call for the next report. */
  public record({ kind, outcome, table }: StoreCall): void {
    const name = `${table} ${kind}`;
    this.callsByTable.set(name, (this.callsByTable.get(name) ?? 0) + 1);
    this.outcomes[outcome]++;
  }

  private report(): void {
    if (this.callsByTable.size === 0) {
      return;
    }
    const byTable = [...this.callsByTable].map(([name, calls]) => `${name} ${String(calls)}`);
    this.logger.info(
      {
        ...this.outcomes,
        byTable: byTable.sort().join(', '),
        event: 'store-calls',
        interval: REPORT_INTERVAL_MILLISECONDS,
      },
      'calls to the store since the last report',
    );
    this.callsByTable.clear();
    this.outcomes = createOutcomeCounts();
  }
}

function createOutcomeCounts(): Record<StoreCallOutcome, number> {
  return { answered: 0, conflict: 0, failed: 0, 'rate-limited': 0 };
}
