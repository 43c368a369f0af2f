import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { AttemptEnd } from '../../src/upstreams/replicaLoads.js';

import { ReplicaLoads } from '../../src/upstreams/replicaLoads.js';
import { makeRandom } from '../support/makeRandom.js';
import { sampleReplica } from '../support/samples.js';

describe(ReplicaLoads, () => {
  const replica = sampleReplica('r1');
  let timers: ManualTimerService;
  let loads: ReplicaLoads;

  beforeEach(() => {
    timers = new ManualTimerService();
    loads = new ReplicaLoads(timers, () => 4);
  });

  it.each<[string, readonly AttemptEnd[], boolean]>([
    ['a lost connection', ['unreachable'], true],
    ['another replica at the address', ['misdirected'], true],
    ['a refusal for lack of capacity', ['full'], true],
    ['one failed response', ['failed'], false],
    ['two failed responses in a row', ['failed', 'failed'], true],
    ['failed responses with a success between them', ['failed', 'answered', 'failed'], false],
  ])('evaluates whether to avoid a replica after %s', (_name, ends, isAvoided) => {
    ends.forEach(end => {
      loads.recordEnd(replica, end);
    });
    expect(loads.isAvoided(replica)).toBe(isAvoided);
  });

  it('avoids a replica for a limited time that grows with each failure', async () => {
    loads.recordEnd(replica, 'unreachable');
    await timers.advance(1_000);
    expect(loads.isAvoided(replica)).toBe(false);
    loads.recordEnd(replica, 'unreachable');
    await timers.advance(1_500);
    expect(loads.isAvoided(replica)).toBe(true);
    await timers.advance(600);
    expect(loads.isAvoided(replica)).toBe(false);
  });

  it('reduces the failures at a replica that fails half of its requests but passes its health checks', async () => {
    const random = makeRandom(3);
    const healthyReplica = sampleReplica('r2');
    let failed = 0;
    for (let request = 0; request < 400; request++) {
      const usesFailingReplica = !loads.isAvoided(replica) && random() < 0.5;
      const fails = usesFailingReplica && random() < 0.45;
      failed += fails ? 1 : 0;
      loads.recordEnd(usesFailingReplica ? replica : healthyReplica, fails ? 'failed' : 'answered');
      await timers.advance(50);
    }
    // If the replica were not avoided, 90 of the 400 requests would fail.
    expect(failed).toBeLessThan(60);
  });

  it('discards the state of runs that are no longer registered', () => {
    loads.recordEnd(replica, 'unreachable');
    loads.retain(new Set());
    expect(loads.isAvoided(replica)).toBe(false);
  });
});
