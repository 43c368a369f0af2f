import { createLogger, ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { StoreFaults } from '../support/memoryTable.js';

import { ConfigurationFollower } from '../../src/configuration/configurationFollower.js';
import { MemoryTable } from '../support/memoryTable.js';
import {
  configurationAddress,
  sampleConfiguration,
  sampleConfigurationSource,
  sampleWorkspace,
} from '../support/samples.js';

const FRESH_MILLISECONDS = 3_000;
const REVOCATION_BOUND_MILLISECONDS = 5_000;

describe(ConfigurationFollower, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let follower: ConfigurationFollower;
  let logLines: string[];

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    logLines = [];
    follower = new ConfigurationFollower(
      store.client(),
      sampleConfigurationSource,
      timers,
      createLogger('info', {}, { write: line => logLines.push(line) }),
      { freshMilliseconds: FRESH_MILLISECONDS, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    store.put(configurationAddress, sampleConfiguration(7));
    follower.start();
    await timers.advance(100);
  });

  it('has no configuration before the first answer', () => {
    const unstartedFollower = new ConfigurationFollower(
      store.client(),
      sampleConfigurationSource,
      timers,
      silentLogger,
      { freshMilliseconds: FRESH_MILLISECONDS, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    expect(unstartedFollower.current).toBeUndefined();
    expect(unstartedFollower.isFresh()).toBe(false);
  });

  it('puts a new version in force immediately', async () => {
    store.put(configurationAddress, sampleConfiguration(9));
    await timers.advance(50);
    expect(follower.current?.configuration.version).toBe(9);
  });

  it('never returns to an older version', async () => {
    store.put(configurationAddress, sampleConfiguration(5));
    await timers.advance(200);
    store.compact();
    await timers.advance(3_000);
    expect(follower.current?.configuration.version).toBe(7);
  });

  // Guards against admission without keys while it is not known whether there were any.
  it('is not fresh without a list of workspaces until it knows whether there was one', async () => {
    const otherStore = new MemoryTable(timers);
    const lateTable = otherStore.client();
    const answers: (() => void)[] = [];
    const unsure = new ConfigurationFollower(
      {
        ...lateTable,
        read: async request => {
          if (request.table !== sampleConfigurationSource.table) {
            await new Promise<void>(resolve => answers.push(resolve));
          }
          return await lateTable.read(request);
        },
      },
      sampleConfigurationSource,
      timers,
      silentLogger,
      { freshMilliseconds: FRESH_MILLISECONDS, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    otherStore.put(configurationAddress, sampleConfiguration(7, { workspaces: undefined }));
    unsure.start();
    await timers.advance(200);
    expect([unsure.isFresh(), unsure.isUsable()]).toEqual([false, true]);
    answers.forEach(answer => {
      answer();
    });
    await timers.advance(200);
    expect(unsure.isFresh()).toBe(true);
  });

  it('keeps the version in force when a stored one cannot be decoded', async () => {
    store.put(configurationAddress, 'no configuration');
    await timers.advance(200);
    expect(follower.current?.configuration.version).toBe(7);
    expect(follower.isFresh()).toBe(true);
  });

  // Guards against a removal of the configuration that nothing tells of.
  it.each([
    ['the feed', () => undefined],
    [
      'a snapshot',
      () => {
        store.compact();
      },
    ],
  ])('keeps the version in force when its row is removed, as %s shows', async (_name, hide) => {
    store.remove(configurationAddress);
    hide();
    await timers.advance(3_000);
    expect(follower.current?.configuration.version).toBe(7);
    expect(follower.isFresh()).toBe(true);
    expect(logLines.join('')).toContain('"event":"configuration-removed"');
    store.put(configurationAddress, sampleConfiguration(8, { workspaces: [] }));
    await timers.advance(200);
    expect(follower.current?.findWorkspace('key-of-clerks')).toBeUndefined();
  });

  it('tells of no removal before there was a configuration', async () => {
    const emptyStore = new MemoryTable(timers);
    const unconfigured = new ConfigurationFollower(
      emptyStore.client(),
      sampleConfigurationSource,
      timers,
      createLogger('info', {}, { write: line => logLines.push(line) }),
      { freshMilliseconds: FRESH_MILLISECONDS, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    logLines = [];
    unconfigured.start();
    await timers.advance(100);
    expect(unconfigured.current).toBeUndefined();
    expect(logLines.join('')).not.toContain('configuration-removed');
  });

  // Guards against a withdrawal without a higher version, which has no effect and of which nothing told.
  it.each([5, 7])('logs that it ignores a later row with version %i', async version => {
    store.put(configurationAddress, sampleConfiguration(version, { workspaces: [] }));
    await timers.advance(200);
    expect(follower.current?.findWorkspace('key-of-clerks')).toBeDefined();
    expect(logLines.join('')).toContain('"event":"configuration-ignored"');
  });

  it('does not log that it has read the configuration in force again', async () => {
    store.compact();
    await timers.advance(5_000);
    expect(logLines.join('')).not.toContain('configuration-ignored');
  });

  it('stays fresh without changes and after the feed history is lost', async () => {
    await timers.advance(20_000);
    store.compact();
    await timers.advance(20_000);
    expect(follower.isFresh()).toBe(true);
  });

  const outages: readonly (readonly [string, (faults: StoreFaults) => void])[] = [
    ['silent', faults => (faults.isSilent = true)],
    ['refusing', faults => (faults.isRefusing = true)],
  ];

  it.each(outages)('becomes stale while the store is %s', async (_name, startOutage) => {
    startOutage(store.faults);
    store.put(configurationAddress, sampleConfiguration(8, { workspaces: [] }));
    const withdrawnAt = timers.now();
    for (let elapsed = 0; elapsed < 8_000; elapsed += 50) {
      await timers.advance(50);
      const isPastBound = timers.now() - withdrawnAt > REVOCATION_BOUND_MILLISECONDS;
      const acceptsKey =
        follower.isFresh() && follower.current?.findWorkspace('key-of-clerks') !== undefined;
      expect(isPastBound && acceptsKey).toBe(false);
    }
    store.faults.isSilent = false;
    store.faults.isRefusing = false;
    await timers.advance(1_000);
    expect(follower.isFresh()).toBe(true);
    expect(follower.current?.configuration.version).toBe(8);
  });

  it('applies a key withdrawal even if the feed misses one second of changes', async () => {
    store.faults.feedsMissChanges = true;
    const withoutKey = sampleConfiguration(8, { workspaces: [sampleWorkspace({ keys: [] })] });
    store.put(configurationAddress, withoutKey);
    await timers.advance(1_000);
    store.compact();
    store.faults.feedsMissChanges = false;
    await timers.advance(2_500);
    expect(follower.current?.findWorkspace('key-of-clerks')).toBeUndefined();
  });

  it('counts time in suspension, which the monotonic clock does not', () => {
    timers.stepWallClock(4_000);
    expect(follower.isFresh()).toBe(false);
  });

  it('does not become fresh when the wall clock is set back', async () => {
    store.faults.isSilent = true;
    await timers.advance(4_500);
    timers.stepWallClock(-60_000);
    expect(follower.isFresh()).toBe(false);
  });

  it('reads the configuration immediately on refresh', async () => {
    timers.skip(4_000);
    expect(follower.isFresh()).toBe(false);
    const refreshed = follower.refresh(150);
    await timers.advance(20);
    expect(await refreshed).toBe(true);
  });
});
