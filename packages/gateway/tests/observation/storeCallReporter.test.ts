import type { LogFields, Logger } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { StoreCall } from '../../src/store/monitoredTable.js';

import { StoreCallReporter } from '../../src/observation/storeCallReporter.js';

const INTERVAL_MILLISECONDS = 2_000;

const rateRead: StoreCall = { kind: 'read', milliseconds: 4, outcome: 'answered', table: 'rates' };

describe(StoreCallReporter, () => {
  function startReporter(): {
    readonly lines: LogFields[];
    readonly reporter: StoreCallReporter;
    readonly timers: ManualTimerService;
  } {
    const timers = new ManualTimerService();
    const lines: LogFields[] = [];
    const logger: Logger = {
      ...silentLogger,
      info: fields => {
        lines.push(fields);
      },
    };
    const reporter = new StoreCallReporter(timers, logger);
    reporter.start();
    return { lines, reporter, timers };
  }

  it('reports the calls of each interval by outcome and by table', async () => {
    const { lines, reporter, timers } = startReporter();
    reporter.record(rateRead);
    reporter.record({ ...rateRead, kind: 'transact', outcome: 'conflict' });
    reporter.record({ ...rateRead, kind: 'transact', outcome: 'rate-limited' });
    await timers.advance(INTERVAL_MILLISECONDS);
    reporter.record({ ...rateRead, outcome: 'failed', table: 'turns' });
    await timers.advance(INTERVAL_MILLISECONDS);
    expect(lines).toMatchObject([
      { answered: 1, byTable: 'rates read 1, rates transact 2', conflict: 1, 'rate-limited': 1 },
      { answered: 0, byTable: 'turns read 1', failed: 1 },
    ]);
  });

  it('reports nothing for an interval without calls', async () => {
    const { lines, timers } = startReporter();
    await timers.advance(3 * INTERVAL_MILLISECONDS);
    expect(lines).toEqual([]);
  });
});
