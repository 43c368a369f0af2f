import { ManualTimerService, silentLogger, sleep } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { PartitionedTable } from '@zincring/platform';

import type { ReplicaEntry, SoftwareVersion } from '../../src/upstreams/replica.js';

import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { VersionRecord } from '../../src/upstreams/versionRecord.js';
import { makeRandom } from '../support/makeRandom.js';
import { MemoryTable } from '../support/memoryTable.js';
import { engineService, sampleReplica } from '../support/samples.js';

const INSTANCES = 75;
const WINDOW_MILLISECONDS = 6_000;
const versionsAddress = { key: engineService.name, partition: 'versions', table: 'versions' };

describe(VersionRecord, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let entries: readonly ReplicaEntry[];
  let notifiers: (() => void)[];
  let records: VersionRecord[];
  let random: () => number;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    notifiers = [];
    records = [];
    random = makeRandom(1);
  });

  function startInstance(client = store.client()): VersionHistory {
    const source = {
      ageMilliseconds: () => 0,
      interruptionCount: () => 0,
      listAll: () => entries,
      subscribe: (listener: () => void) => {
        notifiers.push(listener);
      },
    };
    const versions = new VersionHistory(source, timers);
    const table = new MonitoredTable(client, timers);
    const common = { logger: silentLogger, random, table, timers, versions };
    const record = new VersionRecord(common);
    record.start();
    records.push(record);
    return versions;
  }

  function serve(versions: readonly string[]): void {
    entries = versions.map(version =>
      sampleReplica(`of-${version}`, { softwareVersion: version as SoftwareVersion }),
    );
    notifiers.forEach(notify => {
      notify();
    });
  }

  it('costs few calls when many instances start, see a change, and start again', async () => {
    serve(['v1']);
    const startAll = (): void => {
      Array.from({ length: INSTANCES }, () => startInstance());
    };
    const count = async (act: () => void): Promise<{ reads: number; writes: number }> => {
      const { calls, transactions } = store;
      act();
      await timers.advance(3_000);
      const writes = store.transactions - transactions;
      return { reads: store.calls - calls - writes, writes };
    };
    const first = await count(startAll);
    const atRest = await count(() => undefined);
    const change = await count(() => {
      serve(['v1', 'v2']);
    });
    const again = await count(startAll);
    // An instance whose write meets that of another one reads once more.
    expect(first.reads).toBeLessThanOrEqual(2 * INSTANCES + first.writes);
    expect(change.reads).toBeLessThanOrEqual(INSTANCES + change.writes);
    expect(Math.max(first.writes, change.writes)).toBeLessThanOrEqual(5);
    expect(atRest).toEqual({ reads: 0, writes: 0 });
    expect(again).toEqual({ reads: INSTANCES, writes: 0 });
  });

  it('is written again after the store refused it', async () => {
    serve(['v1']);
    startInstance();
    await timers.advance(60_000);
    store.faults.isRefusing = true;
    serve(['v2']);
    await timers.advance(5_000);
    store.faults.isRefusing = false;
    await timers.advance(2_000);
    const restarted = startInstance();
    await timers.advance(100);
    const find = (): unknown =>
      restarted.findAssumedVersion(engineService.name, WINDOW_MILLISECONDS);
    expect(find()).toBeUndefined();
    await timers.advance(WINDOW_MILLISECONDS);
    expect(find()).toBe('v2');
  });

  it('is never answered as it was before the call, although an earlier read is pending', async () => {
    serve(['v1']);
    const client = store.client();
    const slowClient: PartitionedTable = {
      ...client,
      read: async request => {
        const page = await client.read(request);
        await sleep(timers, 400);
        return page;
      },
    };
    const versions = startInstance(slowClient);
    const record = records.at(-1)!;
    await timers.advance(100);
    const periods = [{ startedAt: 0, versions: ['v2'] }];
    store.put(versionsAddress, { periods });
    const refreshed = record.refresh();
    await timers.advance(1_000);
    expect(await refreshed).toBe(true);
    expect(versions.findRecordedVersions(engineService.name)).toEqual(new Set(['v2']));
  });

  it('keeps a row that it cannot read, and does not rely on it', async () => {
    store.put(versionsAddress, '{"eras":[]}');
    serve(['v1']);
    const versions = startInstance();
    await timers.advance(5_000);
    expect(versions.findAssumedVersion(engineService.name, WINDOW_MILLISECONDS)).toBeUndefined();
    const callsBefore = store.calls;
    await timers.advance(60_000);
    expect(store.calls).toBe(callsBefore);
    expect(store.get(versionsAddress)?.value.toString()).toBe('{"eras":[]}');
  });
});
