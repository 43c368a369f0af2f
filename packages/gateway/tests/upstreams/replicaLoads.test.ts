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
    ['a refusal for lack of room', ['full'], true],
    ['one failed answer', ['failed'], false],
    ['two failed answers in a row', ['failed', 'failed'], true],
    ['failed answers with others between', ['failed', 'answered', 'failed'], false],
  ])('after %s', (_name, ends, isAvoided) => {
    ends.forEach(end => {
      loads.noteEnd(replica, end);
    });
    expect(loads.isAvoided(replica)).toBe(isAvoided);
  });

  it('comes back, and stays away longer each time', async () => {
    loads.noteEnd(replica, 'unreachable');
    await timers.advance(1_000);
    expect(loads.isAvoided(replica)).toBe(false);
    loads.noteEnd(replica, 'unreachable');
    await timers.advance(1_500);
    expect(loads.isAvoided(replica)).toBe(true);
    await timers.advance(600);
    expect(loads.isAvoided(replica)).toBe(false);
  });

  it('lets fewer requests fail at a replica that fails half of them while its checks are good', async () => {
    const random = makeRandom(3);
    const other = sampleReplica('r2');
    let failed = 0;
    for (let request = 0; request < 400; request++) {
      const useFirst = !loads.isAvoided(replica) && random() < 0.5;
      const fails = useFirst && random() < 0.45;
      failed += fails ? 1 : 0;
      loads.noteEnd(useFirst ? replica : other, fails ? 'failed' : 'answered');
      await timers.advance(50);
    }
    // Without leaving it alone, 90 of the 400 requests would fail.
    expect(failed).toBeLessThan(60);
  });

  it('forgets runs that have left', () => {
    loads.noteEnd(replica, 'unreachable');
    loads.retain(new Set());
    expect(loads.isAvoided(replica)).toBe(false);
  });
});
