import type { AvailabilityZone, InstanceId } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { MAXIMUM_LIST_AGE_MILLISECONDS } from '../../src/peers/ownerSelector.js';
import { PeerDirectory } from '../../src/peers/peerDirectory.js';
import { PEER_TABLE, sweptPeers } from '../../src/peers/registrationRow.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { RowSweeper } from '../../src/store/rowSweeper.js';
import { makeOwner } from '../support/fakePeer.js';
import { MemoryTable } from '../support/memoryTable.js';

const PARTITION = 'instances';

describe(PeerDirectory, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let connected: string[];
  let retained: readonly string[];

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    connected = [];
    retained = [];
  });

  function makeDirectory(name: string, run = `${name}/run-1`): PeerDirectory {
    return new PeerDirectory({
      availabilityZone: 'nelson' as AvailabilityZone,
      connect: address => {
        connected.push(address);
        return makeOwner(address).peer;
      },
      instance: name as InstanceId,
      logger: silentLogger,
      random: () => 0.5,
      retain: addresses => {
        retained = [...addresses];
      },
      run,
      table: new MonitoredTable(store.client(), timers),
      timers,
    });
  }

  function listNames({ owners }: PeerDirectory): readonly string[] {
    return owners.map(({ instance }) => instance as string).sort();
  }

  function putRegistration(name: string, value: unknown): void {
    store.put({ key: name, partition: PARTITION, table: PEER_TABLE }, value);
  }

  it('knows that its list is out of date while its polls are not answered', async () => {
    const directory = makeDirectory('entry-1');
    directory.start('10.1.0.1:7780');
    await timers.advance(20_000);
    expect(directory.ageMilliseconds()).toBeLessThan(MAXIMUM_LIST_AGE_MILLISECONDS);
    store.faults.isSilent = true;
    await timers.advance(MAXIMUM_LIST_AGE_MILLISECONDS);
    expect(directory.ageMilliseconds()).toBeGreaterThanOrEqual(MAXIMUM_LIST_AGE_MILLISECONDS);
  });

  it('counts as registered from the answer of the store until it leaves', async () => {
    const directory = makeDirectory('entry-1');
    store.faults.isRefusing = true;
    directory.start('10.1.0.1:7780');
    await timers.advance(3_000);
    expect(directory.isRegistered).toBe(false);
    store.faults.isRefusing = false;
    await timers.advance(3_000);
    expect(directory.isRegistered).toBe(true);
    const changedAt = directory.changedAt;
    store.faults.isRefusing = true;
    await timers.advance(61_000);
    expect(directory.isRegistered).toBe(false);
    store.faults.isRefusing = false;
    await timers.advance(3_000);
    expect(directory.isRegistered).toBe(true);
    expect(directory.changedAt).toBeGreaterThan(changedAt);
    void directory.stop();
    expect(directory.isRegistered).toBe(false);
  });

  it('finds the other instances but not itself', async () => {
    const names = ['entry-1', 'entry-2', 'entry-3'];
    const directories = names.map(name => makeDirectory(name));
    directories.forEach((directory, index) => {
      directory.start(`10.1.0.${String(index)}:7780`);
    });
    await timers.advance(5_000);
    expect(listNames(directories[0]!)).toEqual(['entry-2', 'entry-3']);
    expect(listNames(directories[2]!)).toEqual(['entry-1', 'entry-2']);
  });

  it('keeps an instance that renews its registration and drops one that leaves', async () => {
    const observer = makeDirectory('observer');
    const leaving = makeDirectory('leaving');
    observer.start('10.1.0.1:7780');
    leaving.start('10.1.0.2:7780');
    await timers.advance(120_000);
    expect(listNames(observer)).toEqual(['leaving']);
    const stopping = leaving.stop();
    await timers.advance(3_000);
    await stopping;
    expect(listNames(observer)).toEqual([]);
    expect(retained).toEqual([]);
  });

  it('drops an instance that no longer renews its registration', async () => {
    const observer = makeDirectory('observer');
    putRegistration('gone', { address: '10.1.0.9:7780', expiresAt: timers.wallClock() + 60_000 });
    observer.start('10.1.0.1:7780');
    await timers.advance(30_000);
    expect(listNames(observer)).toEqual(['gone']);
    await timers.advance(60_000);
    expect(listNames(observer)).toEqual([]);
  });

  it('connects anew to an instance that returns at another address', async () => {
    const observer = makeDirectory('observer');
    putRegistration('moved', { address: '10.1.0.8:7780', expiresAt: timers.wallClock() + 60_000 });
    observer.start('10.1.0.1:7780');
    await timers.advance(3_000);
    putRegistration('moved', { address: '10.1.0.9:7780', expiresAt: timers.wallClock() + 60_000 });
    await timers.advance(3_000);
    expect(connected).toEqual(['10.1.0.8:7780', '10.1.0.9:7780']);
    expect(retained).toEqual(['10.1.0.9:7780']);
  });

  it('ignores registrations that cannot be read', async () => {
    const observer = makeDirectory('observer');
    putRegistration('half', { address: '10.1.0.8:7780' });
    putRegistration('text', 'no registration');
    putRegistration('sound', { address: '10.1.0.9:7780', expiresAt: timers.wallClock() + 60_000 });
    observer.start('10.1.0.1:7780');
    await timers.advance(3_000);
    expect(listNames(observer)).toEqual(['sound']);
  });

  it.each([
    ['a port out of range', '{"address":"10.1.0.9:70000","expiresAt":9e15}'],
    ['no port', '{"address":"10.1.0.9","expiresAt":9e15}'],
    ['an address of another form', '{"address":"10.1.0.9:80/x:80","expiresAt":9e15}'],
    ['no end', '{"address":"10.1.0.9:80","expiresAt":1e999}'],
    ['a nested address', `{"address":${'['.repeat(5e4)}${']'.repeat(5e4)},"expiresAt":9e15}`],
  ])('ignores a registration with %s', async (_name, value) => {
    putRegistration('odd', value);
    putRegistration('entry-2', {
      address: '10.1.0.2:7780',
      expiresAt: timers.wallClock() + 60_000,
    });
    const directory = makeDirectory('entry-1');
    directory.start('10.1.0.1:7780');
    await timers.advance(3_000);
    expect(listNames(directory)).toEqual(['entry-2']);
  });

  it('registers again after the store was away', async () => {
    store.faults.isRefusing = true;
    const directory = makeDirectory('entry-1');
    directory.start('10.1.0.1:7780');
    await timers.advance(3_000);
    store.faults.isRefusing = false;
    await timers.advance(3_000);
    const address = { key: 'entry-1', partition: PARTITION, table: PEER_TABLE };
    expect(store.get(address)).toBeDefined();
  });

  it('lets the sweeper remove expired and unreadable registrations only', async () => {
    putRegistration('gone', { address: '10.1.0.9:7780', expiresAt: timers.wallClock() + 1_000 });
    putRegistration('text', 'no registration');
    putRegistration('sound', { address: '10.1.0.8:7780', expiresAt: timers.wallClock() + 600_000 });
    await timers.advance(60_000);
    const dependencies = { logger: silentLogger, random: () => 0, table: store.client(), timers };
    const sweeping = new RowSweeper(dependencies, [sweptPeers]).sweepPage();
    await timers.advance(100);
    await sweeping;
    const remaining = ['gone', 'text', 'sound'].filter(
      key => store.get({ key, partition: PARTITION, table: PEER_TABLE }) !== undefined,
    );
    expect(remaining).toEqual(['sound']);
  });

  it('knows the availability zones of the others, except for those of builds that do not state them', async () => {
    const directory = makeDirectory('entry-1');
    makeDirectory('entry-2').start('10.1.0.2:7780');
    putRegistration('entry-3', {
      address: '10.1.0.3:7780',
      expiresAt: timers.wallClock() + 60_000,
    });
    directory.start('10.1.0.1:7780');
    await timers.advance(4_000);
    const listIn = (zone: string | undefined): readonly string[] =>
      directory.addressesWhere(each => each === zone);
    expect(listIn('nelson')).toEqual(['10.1.0.2:7780']);
    expect(listIn(undefined)).toEqual(['10.1.0.3:7780']);
  });
});
