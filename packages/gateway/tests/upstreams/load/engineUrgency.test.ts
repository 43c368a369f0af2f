import { describe, expect, it } from 'vitest';

import type { ProgramStage } from '../../../src/programs/programStage.js';

import { computeEngineUrgency } from '../../../src/upstreams/load/engineUrgency.js';
import { makeGatewayPolicy } from '../../support/engineLoad/gatewayPolicy.js';
import { burstOfPrograms, playPrograms } from '../../support/engineLoad/playPrograms.js';

describe(computeEngineUrgency, () => {
  it.each<[number, number, ProgramStage, number]>([
    [1, 0, 'in-progress', 1],
    [1, 0, 'starting', 2],
    [1, 0, 'overdue', 3],
    [1, 1, 'in-progress', 4],
    [1, 1, 'overdue', 6],
    [2, 2, 'overdue', 9],
    [3, 0, 'overdue', 2],
    [3, 3, 'starting', 8],
    [8, 0, 'overdue', 1],
    [8, 8, 'starting', 9],
    [20, 20, 'in-progress', 9],
  ])('of %i priorities gives priority %i, %s the rank %i', (lowestPriority, ...rest) => {
    const [priority, stage, rank] = rest;
    expect(computeEngineUrgency({ lowestPriority, priority, stage })).toBe(rank);
  });

  it.each([0, 1, 2, 3, 5, 8])(
    'never ranks a lower priority before a higher one (lowest %i)',
    lowestPriority => {
      const rank = (priority: number, stage: ProgramStage): number =>
        computeEngineUrgency({ lowestPriority, priority, stage });
      for (let priority = 0; priority < lowestPriority; priority++) {
        expect(rank(priority, 'overdue')).toBeLessThan(rank(priority + 1, 'in-progress'));
      }
    },
  );
});

describe('the order of turns by the stage of their programs', () => {
  it.each([1, 2, 3])('completes more programs in time under a burst (seed %i)', seed => {
    const load = { ...burstOfPrograms, seed };
    const play = (ordersByStage: boolean): ReturnType<typeof playPrograms> =>
      playPrograms(load, makeGatewayPolicy(load, { limitsStarts: false, ordersByStage }));
    const byPriority = play(false);
    const byStage = play(true);
    expect(byStage.onTime).toBeGreaterThan(byPriority.onTime);
    expect(byStage.failed).toBeLessThan(byPriority.failed);
    expect(byStage.earnedShare).toBeGreaterThan(byPriority.earnedShare);
  });
});
