import type { AvailabilityZone } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { PromptPart, SessionId } from '../../../src/callers/requestFacts.js';
import type { ReplicaEntry, ReplicaRunId } from '../../../src/upstreams/replica.js';

import { GatewayMetrics } from '../../../src/observation/gatewayMetrics.js';
import { ReplicaCosts } from '../../../src/upstreams/load/replicaCosts.js';
import { ReplicaLoads } from '../../../src/upstreams/replicaLoads.js';
import { ReplicaPool } from '../../../src/upstreams/replicaPool.js';
import { makeRandom } from '../../support/makeRandom.js';
import { engineService, plainService, sampleFacts, sampleReplica } from '../../support/samples.js';

const REPLICAS = 20;
const CALL_MILLISECONDS = 20;

describe(ReplicaCosts, () => {
  let timers: ManualTimerService;
  let metrics: GatewayMetrics;
  let costs: ReplicaCosts;
  const replicas = Array.from({ length: REPLICAS }, (_unused, index) =>
    sampleReplica(`r${String(index)}`, { service: plainService.name, slots: 6 }),
  );
  const [first] = replicas as [ReplicaEntry];

  beforeEach(() => {
    timers = new ManualTimerService();
    metrics = new GatewayMetrics();
    costs = makeCosts();
  });

  function makeCosts(): ReplicaCosts {
    return new ReplicaCosts({ logger: silentLogger, metrics, timers });
  }

  function call(entry: ReplicaEntry, milliseconds: number, by = costs): void {
    const timing = by.begin(entry, { kind: 'calls', prompt: undefined });
    timers.skip(milliseconds);
    timing.complete();
  }

  /** Learns what calls take, and then that some replicas take four times as long. */
  function learn(slow: readonly ReplicaEntry[]): void {
    replicas.forEach(entry => {
      call(entry, CALL_MILLISECONDS);
    });
    for (let round = 0; round < 6; round++) {
      slow.forEach(entry => {
        call(entry, 4 * CALL_MILLISECONDS);
      });
    }
  }

  function makePool(service = plainService): ReplicaPool {
    const entries = replicas.map(entry => ({ ...entry, service: service.name }));
    return new ReplicaPool({
      availabilityZone: 'nelson' as AvailabilityZone,
      costs,
      directory: { findReplicas: () => entries, listAll: () => entries },
      areEnginesContended: () => false,
      isPermitted: () => true,
      loads: new ReplicaLoads(timers, () => 16),
      random: makeRandom(1),
      timers,
    });
  }

  function countChoices(service = plainService): Map<string, number> {
    const pool = makePool(service);
    const counts = new Map<string, number>();
    for (let request = 0; request < 100 * REPLICAS; request++) {
      const own = `session-${String(request)}`;
      const facts = sampleFacts({
        promptParts:
          service.engine === undefined
            ? []
            : ['shared', own].map(id => ({ id: id as PromptPart['id'], tokens: 1_000 })),
        sessionId: own as SessionId,
      });
      const chosen = pool.choose({
        excluded: new Set(),
        facts,
        isSticky: false,
        service,
        softwareVersion: undefined,
      });
      counts.set(chosen!.id, (counts.get(chosen!.id) ?? 0) + 1);
    }
    return counts;
  }

  it.each([plainService, engineService])(
    'sends a slow replica a trickle and no other much more ($name)',
    service => {
      learn([first]);
      expect(costs.isSlow(first)).toBe(true);
      const counts = countChoices(service);
      expect(counts.get(first.id)).toBeGreaterThan(0);
      expect(counts.get(first.id)).toBeLessThan(0.25 * 100);
      expect(Math.max(...counts.values())).toBeLessThan(1.6 * 100);
    },
  );

  it('sends no more than its part to a replica that is well again', () => {
    learn([first]);
    for (let round = 0; round < 12; round++) {
      replicas.forEach(entry => {
        call(entry, CALL_MILLISECONDS);
      });
    }
    expect(costs.isSlow(first)).toBe(false);
    const count = countChoices(engineService).get(first.id);
    expect(count).toBeGreaterThan(0.6 * 100);
    expect(count).toBeLessThan(1.4 * 100);
  });

  it('avoids none when most of a service are slow, since the others could not take their part', () => {
    replicas.forEach(entry => {
      call(entry, CALL_MILLISECONDS);
    });
    const slow = replicas.slice(0, 12);
    for (let round = 0; round < 5; round++) {
      costs.hear(slow.map(({ runId }) => ({ ageMilliseconds: 0, ratio: 4, run: runId })));
      timers.skip(100);
    }
    expect(slow.every(entry => costs.isSlow(entry))).toBe(true);
    const counts = countChoices(engineService);
    const part = slow.reduce((sum, { id }) => sum + (counts.get(id) ?? 0), 0);
    expect(part).toBeGreaterThan(0.9 * 100 * slow.length);
  });

  it('begins anew with a new run of a replica', () => {
    learn([first]);
    expect(costs.slownessOf({ ...first, runId: 'r0@2' as ReplicaRunId })).toBe(1);
  });

  it('tells others what deviates, with its age, and passes on what it hears, for two seconds', () => {
    learn([first]);
    timers.skip(300);
    const [report] = costs.ownReports;
    expect(report).toMatchObject({ ageMilliseconds: 300, run: first.runId });
    expect(costs.ownReports).toHaveLength(1);
    const other = makeCosts();
    other.hear(costs.ownReports);
    other.hear(costs.ownReports);
    expect(other.slownessOf(first)).toBe(1);
    expect(other.ownReports).toEqual(costs.ownReports);
    timers.skip(2_000);
    expect(other.ownReports).toEqual([]);
    other.hear([{ ...report!, ageMilliseconds: 2_300 }]);
    expect(other.slownessOf(first)).toBe(1);
  });

  it.each([
    ['of the future', { ageMilliseconds: -5, ratio: 3 }],
    ['too old', { ageMilliseconds: 2_500, ratio: 3 }],
    ['of no possible size', { ageMilliseconds: 0, ratio: 0 }],
  ])('takes in no measurement %s', (_name, measured) => {
    for (let round = 0; round < 8; round++) {
      costs.hear([{ ...measured, run: first.runId }]);
      timers.skip(100);
    }
    expect(costs.slownessOf(first)).toBe(1);
    expect(costs.ownReports).toEqual([]);
  });

  it('counts failures against a replica, and exchanges that were given up late', () => {
    learn([]);
    const [, second] = replicas as [ReplicaEntry, ReplicaEntry];
    for (let round = 0; round < 4; round++) {
      costs.begin(first, { kind: 'calls', prompt: undefined }).recordStatus(500);
      const timing = costs.begin(second, { kind: 'calls', prompt: undefined });
      timers.skip(200);
      timing.abandon();
    }
    expect(costs.isSlow(first)).toBe(true);
    expect(costs.isSlow(second)).toBe(true);
  });

  it('says nothing of a replica whose caller reads slowly', () => {
    const prompt = { promptTokens: 1_000, uncachedTokens: 1_000 };
    const stream = (stallMilliseconds: number): void => {
      const timing = costs.begin(first, { kind: 'streams', prompt });
      for (let event = 0; event < 8; event++) {
        timers.skip(10);
        timing.recordEvent();
        timers.skip(stallMilliseconds);
        timing.recordForwarded();
      }
      timing.complete();
    };
    for (let turn = 0; turn < 10; turn++) {
      stream(0);
    }
    const before = costs.estimate(first.service);
    for (let turn = 0; turn < 10; turn++) {
      stream(80);
    }
    expect(costs.slownessOf(first)).toBe(1);
    expect(costs.estimate(first.service).turnMilliseconds).toBeGreaterThanOrEqual(
      before.turnMilliseconds,
    );
  });

  it('shows the learned costs and the slow replicas in the metrics', async () => {
    learn([first]);
    costs.retain(new Set(replicas.map(({ runId }) => runId)));
    const text = await metrics.render();
    expect(text).toContain(`zincring_slow_replicas{service="${plainService.name}"} 1`);
    expect(text).toMatch(/zincring_learned_milliseconds\{of="call",service="tickets"\} \d/u);
    timers.skip(20_000);
    costs.retain(new Set(replicas.map(({ runId }) => runId)));
    expect(await metrics.render()).toContain(
      `zincring_slow_replicas{service="${plainService.name}"} 0`,
    );
  });
});
