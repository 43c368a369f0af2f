import type { TimerService } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import type { StoreCall } from '../store/monitoredTable.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { StoreCallReporter } from './storeCallReporter.js';

import { MonitoredTable } from '../store/monitoredTable.js';

/** What measures the calls to a table. */
export interface TableInstruments {
  readonly metrics: GatewayMetrics;
  readonly random: () => number;
  readonly reporter: StoreCallReporter;
  readonly timers: TimerService;
}

/**
 * Measures the calls to a table: in the metrics, and for the log of calls. Polls of the feed have no time of their own.
 *
 * @example
 * const table = instrumentTable(store, { metrics, random, reporter, timers });
 */
export function instrumentTable(
  table: PartitionedTable,
  { metrics, random, reporter, timers }: TableInstruments,
): MonitoredTable {
  const onCall = (call: StoreCall): void => {
    const { kind, milliseconds, outcome, table: name } = call;
    reporter.record(call);
    metrics.storeCalls.inc({ call: kind, outcome, table: name });
    if (kind !== 'changes') {
      metrics.storeSeconds.observe({ call: kind }, milliseconds / 1_000);
    }
  };
  return new MonitoredTable(table, timers, onCall, random);
}
