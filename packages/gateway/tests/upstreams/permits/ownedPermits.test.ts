import { ManualTimerService, silentLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { ReplicaRunId } from '../../../src/upstreams/replica.js';

import { OwnedPermits } from '../../../src/upstreams/permits/ownedPermits.js';

const replica = 'r1@1' as ReplicaRunId;
const REQUESTS_PER_SECOND = 20;

describe(OwnedPermits, () => {
  it('grants a reduced rate after its instance was not registered, also if nobody asked meanwhile', async () => {
    const timers = new ManualTimerService();
    let registeredAt = 0;
    const ranking = {
      isCurrent: () => true,
      ranksFirst: () => true,
      registeredMilliseconds: () => timers.now() - registeredAt,
      unchangedMilliseconds: () => timers.now(),
    };
    const permits = new OwnedPermits({ logger: silentLogger, ranking, timers });
    const countGranted = async (): Promise<number> => {
      let granted = 0;
      for (let step = 0; step < 100; step++) {
        const announced = { ageMilliseconds: 0, requestsPerSecond: REQUESTS_PER_SECOND };
        const reply = await permits.acquirePermit({
          announced,
          maximumWaitMilliseconds: 0,
          replica,
        });
        granted += reply.kind === 'granted' ? 1 : 0;
        await timers.advance(20);
      }
      return granted;
    };
    await timers.advance(10_000);
    expect(await countGranted()).toBeGreaterThan(30);
    await timers.advance(20_000);
    registeredAt = timers.now();
    expect(await countGranted()).toBeLessThan(15);
    await timers.advance(7_000);
    expect(await countGranted()).toBeGreaterThan(30);
  });
});
