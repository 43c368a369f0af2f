import type { Logger } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { ReplicaDirectory } from '../../src/upstreams/replicaDirectory.js';
import { MemoryTable } from '../support/memoryTable.js';
import {
  engineService,
  replicaTable,
  sampleReplica,
  sampleReplicaSource,
} from '../support/samples.js';

const DRAIN_MILLISECONDS = 2_000;

describe(ReplicaDirectory, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let directory: ReplicaDirectory;
  let unreadableRows: unknown[];

  const makeAddress = (id: string): { key: string; partition: string; table: string } => ({
    key: id,
    partition: '',
    table: replicaTable,
  });

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    unreadableRows = [];
    const logger: Logger = {
      ...silentLogger,
      info: () => undefined,
      warn: ({ event, row }) => {
        unreadableRows.push(...(event === 'row-unreadable' ? [row] : []));
      },
    };
    directory = new ReplicaDirectory(store.client(), sampleReplicaSource, timers, logger, {
      minimumOutageMilliseconds: 2_500,
      pauseMilliseconds: 500,
      registrationGraceMilliseconds: 1_900,
      waitMilliseconds: 1_000,
    });
    store.put(makeAddress('r1'), sampleReplica('r1'));
    store.put(makeAddress('r2'), sampleReplica('r2'));
    directory.start();
    await timers.advance(100);
  });

  function findUsableReplicas(): readonly string[] {
    return directory
      .findReplicas(engineService.name)
      .filter(entry => !entry.isDraining)
      .map(entry => entry.id);
  }

  it('lists the replicas of a service', () => {
    expect(findUsableReplicas()).toEqual(['r1', 'r2']);
  });

  it('logs an unreadable entry once, and keeps the others', async () => {
    for (let write = 0; write < 4; write++) {
      store.put(makeAddress('r1'), `{"write":${String(write)}`);
      store.put(makeAddress('r9'), 'no JSON');
      await timers.advance(1_000);
    }
    expect(findUsableReplicas()).toEqual(['r2']);
    expect(unreadableRows).toEqual(['r1', 'r9']);
  });

  it('counts down the time for which an entry says that its replica is cold', async () => {
    const findColdEnd = (): number | undefined =>
      directory.findReplicas(engineService.name)[0]?.coldUntil;
    expect(findColdEnd()).toBeUndefined();
    store.put(makeAddress('r1'), sampleReplica('r1', { coldMilliseconds: 2_500 }));
    await timers.advance(DRAIN_MILLISECONDS / 2);
    const remaining = findColdEnd()! - timers.now();
    expect(remaining).toBeGreaterThan(2_500 - DRAIN_MILLISECONDS / 2);
    await timers.advance(500);
    expect(findColdEnd()! - timers.now()).toBe(remaining - 500);
    store.put(makeAddress('r1'), sampleReplica('r1'));
    await timers.advance(DRAIN_MILLISECONDS / 2);
    expect(findColdEnd()).toBeUndefined();
  });

  it.each([
    ['drains', () => sampleReplica('r1', { isDraining: true })],
    ['is replaced by an entry of another writer', () => 'not an entry'],
  ])('stops using a replica that %s in time', async (_name, entry) => {
    store.put(makeAddress('r1'), entry());
    await timers.advance(DRAIN_MILLISECONDS / 2);
    expect(findUsableReplicas()).toEqual(['r2']);
  });

  it('stops using a removed replica in time', async () => {
    store.remove(makeAddress('r1'));
    await timers.advance(DRAIN_MILLISECONDS / 2);
    expect(findUsableReplicas()).toEqual(['r2']);
  });

  it('keeps the other replicas when an entry cannot be decoded', async () => {
    store.put(makeAddress('r3'), 'not an entry');
    await timers.advance(1_000);
    expect(findUsableReplicas()).toEqual(['r1', 'r2']);
  });

  it('keeps the replicas while the store is unavailable', async () => {
    store.faults.isSilent = true;
    await timers.advance(10_000);
    expect(findUsableReplicas()).toEqual(['r1', 'r2']);
  });

  it('keeps replicas whose entries expired during an outage for the grace period', async () => {
    store.faults.isSilent = true;
    await timers.advance(6_000);
    store.remove(makeAddress('r1'));
    store.remove(makeAddress('r2'));
    store.compact();
    store.faults.isSilent = false;
    await timers.advance(1_000);
    expect(findUsableReplicas()).toEqual(['r1', 'r2']);
    store.put(makeAddress('r2'), sampleReplica('r2'));
    await timers.advance(2_500);
    expect(findUsableReplicas()).toEqual(['r2']);
  });

  it('reports a new run of a replica that restarted under the same id', async () => {
    const runs: string[] = [];
    directory.subscribe(change => {
      if (change.kind === 'seen') {
        runs.push(change.entry.runId);
      }
    });
    store.put(makeAddress('r1'), sampleReplica('r1', { runId: 'r1@2' as never }));
    await timers.advance(1_000);
    expect(runs).toEqual(['r1@2']);
  });
});
