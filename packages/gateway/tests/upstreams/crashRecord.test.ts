import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RunnableRequest } from '../../src/upstreams/attemptLoop.js';

import { CRASH_TABLE, CrashRecord, identifyRequest } from '../../src/upstreams/crashRecord.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleReplica, sampleTurn } from '../support/samples.js';

describe(CrashRecord, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let instances: CrashRecord[];

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    instances = [1, 2, 3].map(
      () =>
        new CrashRecord({
          logger: silentLogger,
          table: store.client(),
          timers,
        }),
    );
    instances.forEach(instance => {
      instance.start();
    });
    await timers.advance(100);
  });

  /** Records that a run of a replica crashed just now. */
  function recordCrash(
    instance: number,
    request: RunnableRequest,
    replica: string,
    ranMilliseconds = 30,
  ): void {
    const now = timers.now();
    instances[instance]!.record({
      crashedAt: now,
      entry: sampleReplica(replica),
      identity: identifyRequest(request),
      sentAt: now - ranMilliseconds,
    });
  }

  /** Crashes replicas one after the other, each time the request is repeated. */
  async function crashReplicas(
    instance: number,
    request: RunnableRequest,
    ...replicas: readonly string[]
  ): Promise<void> {
    for (const replica of replicas) {
      recordCrash(instance, request, replica);
      await timers.advance(100);
    }
  }

  const poison = sampleTurn('a', {}, { body: Buffer.from('poison') });

  it('refuses a request at all instances after it crashed three replicas at several instances', async () => {
    await crashReplicas(0, poison, 'r1');
    await crashReplicas(1, poison, 'r2');
    await timers.advance(2_500);
    expect(instances.map(instance => instance.check(poison))).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
    await crashReplicas(2, poison, 'r3');
    await timers.advance(2_800);
    for (const instance of instances) {
      const refusal = instance.check(poison);
      expect(refusal?.ran).toBe('no');
      expect(refusal?.status).toBe(503);
    }
  });

  it.each(['no crash', '{}', 'null', '{"at":"now","body":1}'])(
    'counts further crashes and reads no snapshot again after a row that it cannot read: %s',
    async value => {
      store.put({ key: 'unreadable', partition: '', table: CRASH_TABLE }, value);
      await timers.advance(3_000);
      await crashReplicas(0, poison, 'r1', 'r2', 'r3');
      await timers.advance(3_200);
      expect(instances[2]!.check(poison)?.ran).toBe('no');
      const callsBefore = store.calls;
      await timers.advance(10_000);
      // Each of the three instances follows the feed by polls of two seconds.
      expect(store.calls - callsBefore).toBeLessThanOrEqual(3 * 6);
    },
  );

  it('reads many crashes in batches', async () => {
    const callsBefore = store.calls;
    for (let crash = 0; crash < 30; crash++) {
      await crashReplicas(0, sampleTurn(`request-${String(crash)}`), `r${String(crash)}`);
    }
    const reads = store.calls - callsBefore - 30;
    expect(reads).toBeLessThanOrEqual(4 * instances.length);
  });

  it('counts crashes by body, not by request id, which changes when a caller repeats a request', async () => {
    for (const id of ['a', 'b', 'c']) {
      const repetition = sampleTurn(id, {}, { body: Buffer.from('poison') });
      await crashReplicas(0, repetition, `replica-of-${id}`);
    }
    const repeatedRequest = sampleTurn('d', {}, { body: Buffer.from('poison') });
    expect(instances[0]!.check(repeatedRequest)).toBeDefined();
    const differentRequest = sampleTurn('d', {}, { body: Buffer.from('harmless') });
    expect(instances[0]!.check(differentRequest)).toBeUndefined();
  });

  it('counts crashes of its own requests while the store is unavailable', async () => {
    store.faults.isRefusing = true;
    await crashReplicas(0, poison, 'r1', 'r2', 'r3');
    expect(instances[0]!.check(poison)).toBeDefined();
  });

  it('accepts the request again after the refusal period', async () => {
    await crashReplicas(0, poison, 'r1', 'r2', 'r3');
    expect(instances[0]!.check(poison)).toBeDefined();
    await timers.advance(130_000);
    expect(instances[0]!.check(poison)).toBeUndefined();
  });

  it('counts one crash of a run that several instances observe', async () => {
    for (const instance of [0, 1, 2]) {
      await crashReplicas(instance, poison, 'r1');
    }
    await timers.advance(2_900);
    expect(instances.map(instance => instance.check(poison))).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
  });

  it('does not refuse a request for replicas that crashed while each of them ran it', async () => {
    for (const [instance, replica] of ['r1', 'r2', 'r3'].entries()) {
      recordCrash(instance, poison, replica, 1_000);
      await timers.advance(100);
    }
    await timers.advance(2_900);
    expect(instances[0]!.check(poison)).toBeUndefined();
  });

  const shared = sampleTurn('shared', {}, { body: Buffer.alloc(0), method: 'GET' });

  it.each([
    ['with a body', poison],
    ['without a body', shared],
  ])('counts no crash before a request %s was served, at any instance', async (_name, request) => {
    await crashReplicas(0, request, 'r1', 'r2');
    await timers.advance(2_900);
    const repetition = { ...request, facts: { ...request.facts } };
    expect(instances[1]!.check(repetition)).toBeUndefined();
    instances[1]!.recordServed(repetition, timers.now());
    await timers.advance(2_900);
    await crashReplicas(2, request, 'r3', 'r4');
    await timers.advance(2_800);
    for (const instance of instances) {
      expect(instance.check(request)).toBeUndefined();
    }
    await crashReplicas(2, request, 'r5');
    expect(instances[2]!.check(request)).toBeDefined();
  });

  it('counts no crash of which it is told after a request without a body was served', async () => {
    await crashReplicas(0, shared, 'r1', 'r2');
    instances[1]!.recordServed(shared, timers.now());
    await crashReplicas(0, shared, 'r3');
    await timers.advance(2_900);
    for (const instance of instances) {
      expect(instance.check(shared)).toBeUndefined();
    }
  });

  it('counts no cleared crash after a gap of the feed', async () => {
    await crashReplicas(0, poison, 'r1', 'r2', 'r3');
    await timers.advance(2_900);
    expect(instances[1]!.check(poison)).toBeDefined();
    for (const crash of store.list(CRASH_TABLE)) {
      store.remove(crash);
    }
    store.compact();
    await timers.advance(5_000);
    expect(instances[1]!.check(poison)).toBeUndefined();
  });
});
