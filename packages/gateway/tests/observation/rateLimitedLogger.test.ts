import { createLogger, ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { RateLimitedLogger } from '../../src/observation/rateLimitedLogger.js';

const OPTIONS = { failureLinesPerSecond: 20, infoLinesPerSecond: 10 };

describe(RateLimitedLogger, () => {
  let timers: ManualTimerService;
  let lines: { event?: string; usual?: number; failures?: number }[];
  let log: RateLimitedLogger;

  beforeEach(() => {
    timers = new ManualTimerService();
    lines = [];
    const logger = createLogger(
      'info',
      {},
      { write: line => lines.push(JSON.parse(line) as object) },
    );
    log = new RateLimitedLogger(logger, timers, OPTIONS);
  });

  it('writes every line below its bounds', async () => {
    for (let second = 0; second < 10; second++) {
      log.info({ event: 'request-served' }, 'served');
      log.warn({ event: 'request-refused' }, 'refused');
      await timers.advance(1_000);
    }
    expect(lines).toHaveLength(20);
  });

  it('stays within its bounds at ten times the load and reports the dropped lines', async () => {
    for (let elapsed = 0; elapsed < 10_000; elapsed += 10) {
      log.info({ event: 'request-served' }, 'served');
      log.warn({ event: 'request-refused' }, 'refused');
      await timers.advance(10);
    }
    const countLines = (event: string): number => lines.filter(line => line.event === event).length;
    expect(countLines('request-served')).toBe(100);
    expect(countLines('request-refused')).toBe(200);
    const dropped = lines.filter(line => line.event === 'lines-dropped');
    expect(dropped.reduce((sum, line) => sum + (line.usual ?? 0), 0)).toBe(900);
    expect(dropped.reduce((sum, line) => sum + (line.failures ?? 0), 0)).toBe(800);
  });

  it('writes errors even when info lines exceed their bound', () => {
    for (let line = 0; line < 1_000; line++) {
      log.info({ event: 'request-served' }, 'served');
    }
    log.error({ event: 'request-fault' }, 'fault');
    expect(lines.at(-1)?.event).toBe('request-fault');
  });
});
