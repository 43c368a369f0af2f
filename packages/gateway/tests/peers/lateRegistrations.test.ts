import type { AvailabilityZone, InstanceId } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { PeerDirectory } from '../../src/peers/peerDirectory.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { makeOwner } from '../support/fakePeer.js';
import { LateTable } from '../support/lateTable.js';
import { MemoryTable } from '../support/memoryTable.js';

const row = { key: 'entry-1', partition: 'instances', table: 'instances' };
/** Time within which an instance notices a change of the registrations, in milliseconds. */
const NOTICE_MILLISECONDS = 5_000;

describe('registrations in a store that performs writes late', () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let observer: PeerDirectory;

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    observer = makeDirectory('observer', 'run-1').directory;
    observer.start('10.1.0.9:7780');
    await timers.advance(2_000);
  });

  function makeDirectory(
    instance: string,
    run: string,
  ): { readonly directory: PeerDirectory; readonly table: LateTable } {
    const table = new LateTable(store.client());
    const directory = new PeerDirectory({
      availabilityZone: 'nelson' as AvailabilityZone,
      connect: address => makeOwner(address).peer,
      instance: instance as InstanceId,
      logger: silentLogger,
      random: () => 0.5,
      retain: () => undefined,
      run: `${instance}/${run}`,
      table: new MonitoredTable(table, timers),
      timers,
    });
    return { directory, table };
  }

  async function startRun(run: string): Promise<ReturnType<typeof makeDirectory>> {
    const started = makeDirectory('entry-1', run);
    started.directory.start('10.1.0.1:7780');
    await timers.advance(2_000);
    return started;
  }

  async function performLate(table: LateTable): Promise<void> {
    expect(table.heldCount).toBeGreaterThan(0);
    table.holdsTransactions = false;
    void table.performLate();
    await timers.advance(100);
  }

  function listObserved(): readonly string[] {
    return observer.owners.map(({ instance }) => instance);
  }

  it('the end of an earlier run leaves the registration of the next one', async () => {
    const earlier = await startRun('run-1');
    earlier.table.holdsTransactions = true;
    void earlier.directory.stop();
    const later = await startRun('run-2');
    const { changedAt } = later.directory;
    const registration = store.get(row);
    await performLate(earlier.table);
    expect(store.get(row)).toEqual(registration);
    await timers.advance(NOTICE_MILLISECONDS);
    expect(later.directory).toMatchObject({ changedAt, isRegistered: true });
    expect(listObserved()).toEqual(['entry-1']);
  });

  it('a renewal does not bring back an instance that has left', async () => {
    const { directory, table } = await startRun('run-1');
    table.holdsTransactions = true;
    await timers.advance(14_900);
    table.holdsTransactions = false;
    void directory.stop();
    await timers.advance(NOTICE_MILLISECONDS);
    expect(listObserved()).toEqual([]);
    await performLate(table);
    await timers.advance(NOTICE_MILLISECONDS);
    expect(listObserved()).toEqual([]);
  });

  it('a first registration does not bring back an instance that has left', async () => {
    const { directory, table } = makeDirectory('entry-1', 'run-1');
    table.holdsTransactions = true;
    directory.start('10.1.0.1:7780');
    await timers.advance(600);
    table.holdsTransactions = false;
    void directory.stop();
    await timers.advance(1_000);
    await performLate(table);
    await timers.advance(NOTICE_MILLISECONDS);
    expect(listObserved()).toEqual([]);
  });

  it('a renewal of an earlier run leaves the registration of the next one', async () => {
    const earlier = await startRun('run-1');
    earlier.table.holdsTransactions = true;
    await timers.advance(14_900);
    void earlier.directory.stop();
    const later = await startRun('run-2');
    const registration = store.get(row);
    await performLate(earlier.table);
    expect(store.get(row)).toEqual(registration);
    expect(later.directory.isRegistered).toBe(true);
  });

  it.each([
    ['is removed by an instance of an earlier build', undefined],
    ['is replaced by an instance of an earlier build', { address: '10.1.0.7:7780', expiresAt: 0 }],
  ])('an instance whose registration %s registers again at once', async (_name, replacement) => {
    const { directory } = await startRun('run-1');
    const { changedAt } = directory;
    if (replacement === undefined) {
      store.remove(row);
    } else {
      store.put(row, replacement);
    }
    await timers.advance(NOTICE_MILLISECONDS);
    expect(directory.isRegistered).toBe(true);
    expect(directory.changedAt).toBeGreaterThan(changedAt);
    expect(JSON.parse(store.get(row)?.value.toString() ?? '{}')).toMatchObject({
      address: '10.1.0.1:7780',
    });
    await timers.advance(NOTICE_MILLISECONDS);
    expect(listObserved()).toEqual(['entry-1']);
  });

  it('an instance does not count as registered from the notice of its loss until it is stored again', async () => {
    const { directory, table } = await startRun('run-1');
    table.holdsTransactions = true;
    store.remove(row);
    await timers.advance(NOTICE_MILLISECONDS);
    expect(directory.isRegistered).toBe(false);
    table.holdsTransactions = false;
    await timers.advance(2_000);
    expect(directory.isRegistered).toBe(true);
  });

  it('a run takes over the registration of a run that was killed', async () => {
    await startRun('run-1');
    const { directory } = await startRun('run-2');
    expect(directory.isRegistered).toBe(true);
    expect(JSON.parse(store.get(row)?.value.toString() ?? '{}')).toMatchObject({
      run: 'entry-1/run-2',
    });
  });
});
