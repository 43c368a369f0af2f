import type { InstanceId, WorkspaceName } from '@zincring/core';

import { ManualTimerService } from '@zincring/core';
import { expect, it } from 'vitest';

import { OpenProgramCounts } from '../../src/programs/openProgramCounts.js';

const utility = 'utility' as WorkspaceName;

it('sums the counts announced by other instances and drops them after the retention time', () => {
  const timers = new ManualTimerService();
  const createCounts = (count: number): OpenProgramCounts =>
    new OpenProgramCounts({
      countHere: () => new Map([[utility, count]]),
      retentionMilliseconds: 5_000,
      timers,
    });
  const counts = createCounts(1);
  counts.applyUpdate('entry-2' as InstanceId, createCounts(2).createUpdate());
  counts.applyUpdate('entry-2' as InstanceId, createCounts(3).createUpdate());
  timers.skip(3_000);
  counts.applyUpdate('entry-3' as InstanceId, createCounts(4).createUpdate());
  expect(counts.countElsewhere(utility)).toBe(7);
  expect(counts.countElsewhere('other' as WorkspaceName)).toBe(0);
  timers.skip(3_000);
  expect(counts.countElsewhere(utility)).toBe(4);
});
