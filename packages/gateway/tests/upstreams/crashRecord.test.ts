import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { CRASH_TABLE, CrashRecord } from '../../src/upstreams/crashRecord.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleReplica, sampleTurn } from '../support/samples.js';

describe(CrashRecord, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let instances: CrashRecord[];
  let nextId: number;

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    nextId = 0;
    instances = [1, 2, 3].map(
      () =>
        new CrashRecord({
          logger: silentLogger,
          makeId: () => `crash-${String(nextId++)}`,
          table: store.client(),
          timers,
        }),
    );
    instances.forEach(instance => {
      instance.start();
    });
    await timers.advance(100);
  });

  const poison = sampleTurn('a', {}, { body: Buffer.from('poison') });

  it('refuses a request at all instances after it crashed three replicas at several instances', async () => {
    instances[0]!.record(poison, sampleReplica('r1'));
    instances[1]!.record(poison, sampleReplica('r2'));
    await timers.advance(2_500);
    expect(instances.map(instance => instance.check(poison))).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
    instances[2]!.record(poison, sampleReplica('r1'));
    await timers.advance(2_900);
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
      for (const replica of ['r1', 'r2', 'r3']) {
        instances[0]!.record(poison, sampleReplica(replica));
      }
      await timers.advance(3_500);
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
      instances[0]!.record(sampleTurn(`request-${String(crash)}`), sampleReplica('r1'));
      await timers.advance(100);
    }
    const reads = store.calls - callsBefore - 30;
    expect(reads).toBeLessThanOrEqual(4 * instances.length);
  });

  it('counts crashes by body, not by request id, which changes when a caller repeats a request', async () => {
    for (const id of ['a', 'b', 'c']) {
      const repetition = sampleTurn(id, {}, { body: Buffer.from('poison') });
      instances[0]!.record(repetition, sampleReplica('r1'));
    }
    await timers.advance(100);
    const repeatedRequest = sampleTurn('d', {}, { body: Buffer.from('poison') });
    expect(instances[0]!.check(repeatedRequest)).toBeDefined();
    const differentRequest = sampleTurn('d', {}, { body: Buffer.from('harmless') });
    expect(instances[0]!.check(differentRequest)).toBeUndefined();
  });

  it('counts crashes of its own requests while the store is unavailable', async () => {
    store.faults.isRefusing = true;
    for (let crash = 0; crash < 3; crash++) {
      instances[0]!.record(poison, sampleReplica('r1'));
    }
    await timers.advance(100);
    expect(instances[0]!.check(poison)).toBeDefined();
  });

  it('accepts the request again after the refusal period', async () => {
    for (let crash = 0; crash < 3; crash++) {
      instances[0]!.record(poison, sampleReplica('r1'));
    }
    await timers.advance(130_000);
    expect(instances[0]!.check(poison)).toBeUndefined();
  });
});
