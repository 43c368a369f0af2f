import { ManualTimerService, silentLogger } from '@zincring/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import type { ReplicaEntry } from '../../../src/upstreams/replica.js';
import type { ExchangeWatch } from '../../../src/upstreams/reachability/exchangeWatch.js';

import { ReplicaReachability } from '../../../src/upstreams/reachability/replicaReachability.js';
import { makeRandom } from '../../support/makeRandom.js';
import { sampleReplica } from '../../support/samples.js';

/** Time that a probe of a replica that cannot be reached takes, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

describe(ReplicaReachability, () => {
  const replicas = Array.from({ length: 6 }, (_unused, index) =>
    sampleReplica(`r${String(index)}`),
  );
  let timers: ManualTimerService;
  let reachability: ReplicaReachability;
  /** Replicas to which no new connection opens. */
  let cutReplicas: Set<ReplicaEntry>;
  let probes: number;

  beforeEach(async () => {
    timers = new ManualTimerService();
    cutReplicas = new Set();
    probes = 0;
    reachability = new ReplicaReachability({
      listReplicas: () => replicas,
      logger: silentLogger,
      probe: async entry => {
        probes++;
        await new Promise<void>(resolve => {
          timers.after(cutReplicas.has(entry) ? PROBE_TIMEOUT_MILLISECONDS : 1, resolve);
        });
        return !cutReplicas.has(entry);
      },
      random: makeRandom(5),
      timers,
    });
    await timers.advance(10_000);
  });

  afterEach(() => {
    reachability.stop();
  });

  function begin(index: number, abandoned: number[] = [], isRepeatable = true): ExchangeWatch {
    const watch = reachability.watch(replicas[index]!, isRepeatable);
    watch.onStarted(() => {
      abandoned.push(index);
    });
    return watch;
  }

  function failConnection(index: number): void {
    const watch = begin(index);
    watch.onConnectionFailed();
    watch.onEnded();
  }

  it('finds within a second that no replica can be reached', async () => {
    cutReplicas = new Set(replicas);
    failConnection(0);
    expect(reachability.state).toBe('reachable');
    failConnection(1);
    expect(reachability.state).toBe('suspected');
    await timers.advance(PROBE_TIMEOUT_MILLISECONDS);
    expect(reachability.state).toBe('stranded');
  });

  it('finds that replicas on kept connections have fallen silent together', async () => {
    cutReplicas = new Set(replicas);
    begin(0);
    begin(1);
    await timers.advance(400);
    begin(2);
    expect(reachability.state).toBe('suspected');
    await timers.advance(PROBE_TIMEOUT_MILLISECONDS);
    expect(reachability.state).toBe('stranded');
  });

  it.each([
    ['one replica refuses connections', [0, 0, 0]],
    ['two replicas refuse connections and others are reached', [0, 1, 0, 1]],
  ])('is not stranded when %s', async (_name, failures) => {
    cutReplicas = new Set(failures.map(index => replicas[index]!));
    for (const index of failures) {
      failConnection(index);
      await timers.advance(50);
    }
    await timers.advance(1_000);
    expect(reachability.state).toBe('reachable');
  });

  it('does not probe when one replica is silent for a second', async () => {
    begin(0);
    begin(0);
    for (let elapsed = 0; elapsed < 1_500; elapsed += 100) {
      await timers.advance(100);
      begin(0).onEnded();
    }
    expect(reachability.state).toBe('reachable');
    expect(probes).toBe(0);
  });

  it('dismisses a silence of several replicas if others can be reached', async () => {
    begin(0);
    begin(1);
    await timers.advance(1_000);
    begin(2);
    expect(reachability.state).toBe('suspected');
    await timers.advance(10);
    expect(reachability.state).toBe('reachable');
  });

  it('recovers soon after a replica can be reached again', async () => {
    cutReplicas = new Set(replicas);
    failConnection(0);
    failConnection(1);
    await timers.advance(3_000);
    expect(reachability.state).toBe('stranded');
    cutReplicas = new Set();
    await timers.advance(1_000);
    expect(reachability.state).toBe('reachable');
    expect(timers.scheduledTimerCount).toBe(0);
  });

  it('abandons repeatable exchanges that are silent while it is stranded, and no others', async () => {
    const abandoned: number[] = [];
    const lively = begin(2, abandoned);
    begin(0, abandoned);
    begin(1, abandoned, false);
    cutReplicas = new Set(replicas);
    failConnection(3);
    failConnection(4);
    for (let elapsed = 0; elapsed < 3_000; elapsed += 200) {
      await timers.advance(200);
      lively.onData();
    }
    expect(new Set(abandoned)).toEqual(new Set([0]));
  });

  it('abandons nothing within a second of silence', async () => {
    const abandoned: number[] = [];
    begin(0, abandoned);
    cutReplicas = new Set(replicas);
    failConnection(3);
    failConnection(4);
    await timers.advance(1_000);
    expect(reachability.state).toBe('stranded');
    expect(abandoned).toEqual([]);
  });

  it('has evidence of working links only for a short time', async () => {
    expect(reachability.hasEvidence).toBe(false);
    begin(0).onData();
    expect(reachability.hasEvidence).toBe(true);
    await timers.advance(250);
    expect(reachability.hasEvidence).toBe(false);
  });
});
