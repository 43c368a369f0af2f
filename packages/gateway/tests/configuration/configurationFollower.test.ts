import { ManualTimerService, silentLogger } from '@zincring/core';
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

const FRESH = 3_000;
const REVOCATION = 5_000;

describe(ConfigurationFollower, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let follower: ConfigurationFollower;

  beforeEach(async () => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    follower = new ConfigurationFollower(
      store.client(),
      sampleConfigurationSource,
      timers,
      silentLogger,
      { freshMilliseconds: FRESH, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    store.put(configurationAddress, sampleConfiguration(7));
    follower.start();
    await timers.advance(100);
  });

  it('knows nothing before the first answer', () => {
    const unknowing = new ConfigurationFollower(
      store.client(),
      sampleConfigurationSource,
      timers,
      silentLogger,
      { freshMilliseconds: FRESH, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    expect(unknowing.current).toBeUndefined();
    expect(unknowing.isFresh()).toBe(false);
  });

  it('puts a new version in force at once', async () => {
    store.put(configurationAddress, sampleConfiguration(9));
    await timers.advance(50);
    expect(follower.current?.configuration.version).toBe(9);
  });

  it('never goes back to an older version', async () => {
    store.put(configurationAddress, sampleConfiguration(5));
    await timers.advance(200);
    store.compact();
    await timers.advance(3_000);
    expect(follower.current?.configuration.version).toBe(7);
  });

  it('keeps the version in force when a stored one cannot be read', async () => {
    store.put(configurationAddress, 'no configuration');
    await timers.advance(200);
    expect(follower.current?.configuration.version).toBe(7);
    expect(follower.isFresh()).toBe(true);
  });

  it('stays fresh through quiet times and a lost history', async () => {
    await timers.advance(20_000);
    store.compact();
    await timers.advance(20_000);
    expect(follower.isFresh()).toBe(true);
  });

  const troubles: readonly (readonly [string, (faults: StoreFaults) => void])[] = [
    ['silent', faults => (faults.isSilent = true)],
    ['refusing', faults => (faults.isRefusing = true)],
  ];

  it.each(troubles)('stops counting as fresh while the store is %s', async (_name, begin) => {
    begin(store.faults);
    store.put(configurationAddress, sampleConfiguration(8, { workspaces: [] }));
    const acknowledgedAt = timers.now();
    for (let elapsed = 0; elapsed < 8_000; elapsed += 50) {
      await timers.advance(50);
      const isLate = timers.now() - acknowledgedAt > REVOCATION;
      const wouldServe =
        follower.isFresh() && follower.current?.findWorkspace('key-of-clerks') !== undefined;
      expect(isLate && wouldServe).toBe(false);
    }
    store.faults.isSilent = false;
    store.faults.isRefusing = false;
    await timers.advance(1_000);
    expect(follower.isFresh()).toBe(true);
    expect(follower.current?.configuration.version).toBe(8);
  });

  it('learns of a withdrawn key although the feed misses a second of changes', async () => {
    store.faults.hasDeafFeeds = true;
    const withdrawn = sampleConfiguration(8, { workspaces: [sampleWorkspace({ keys: [] })] });
    store.put(configurationAddress, withdrawn);
    await timers.advance(1_000);
    store.compact();
    store.faults.hasDeafFeeds = false;
    await timers.advance(2_500);
    expect(follower.current?.findWorkspace('key-of-clerks')).toBeUndefined();
  });

  it('counts the time of a suspension, which the steady clock does not', () => {
    timers.stepWallClock(4_000);
    expect(follower.isFresh()).toBe(false);
  });

  it('is not made fresh by a wall clock that is set back', async () => {
    store.faults.isSilent = true;
    await timers.advance(4_500);
    timers.stepWallClock(-60_000);
    expect(follower.isFresh()).toBe(false);
  });

  it('looks at once when asked to', async () => {
    timers.skip(4_000);
    expect(follower.isFresh()).toBe(false);
    const refreshed = follower.refresh(150);
    await timers.advance(20);
    expect(await refreshed).toBe(true);
  });
});
