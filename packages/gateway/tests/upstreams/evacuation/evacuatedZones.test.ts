import type { AvailabilityZone } from '@zincring/core';
import type { PartitionedRow, RowChange } from '@zincring/platform';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { ConfigurationFollower } from '../../../src/configuration/configurationFollower.js';
import { EvacuatedZones } from '../../../src/upstreams/evacuation/evacuatedZones.js';
import { MemoryTable } from '../../support/memoryTable.js';
import {
  configurationAddress,
  evacuationAddress,
  sampleConfiguration,
  sampleConfigurationSource,
} from '../../support/samples.js';

const kaslo = 'kaslo' as AvailabilityZone;
const address = evacuationAddress(kaslo);

function makeRow(version: number): PartitionedRow {
  return { ...address, value: Buffer.from('{}'), version };
}

function written(version: number): RowChange {
  return { kind: 'written', row: makeRow(version) };
}

function removed(version: number): RowChange {
  return { kind: 'removed', row: address, version };
}

describe(EvacuatedZones, () => {
  it.each<[string, (zones: EvacuatedZones) => void, boolean]>([
    [
      'a row in a snapshot',
      zones => {
        zones.applySnapshot([makeRow(4)], 9);
      },
      true,
    ],
    [
      'a written row',
      zones => {
        zones.applyChanges([written(4)]);
      },
      true,
    ],
    [
      'a row written and removed',
      zones => {
        zones.applyChanges([written(4), removed(5)]);
      },
      false,
    ],
    [
      'a snapshot without the row after it',
      zones => {
        zones.applyChanges([written(4)]);
        zones.applySnapshot([], 5);
      },
      false,
    ],
    [
      'a snapshot from before it',
      zones => {
        zones.applyChanges([written(4)]);
        zones.applySnapshot([], 3);
      },
      true,
    ],
    [
      'a snapshot from before its end',
      zones => {
        zones.applyChanges([written(4), removed(6)]);
        zones.applySnapshot([makeRow(4)], 5);
      },
      false,
    ],
    [
      'a second evacuation',
      zones => {
        zones.applyChanges([written(4), removed(6), written(7)]);
      },
      true,
    ],
  ])('after %s', (_name, apply, isEvacuated) => {
    const zones = new EvacuatedZones(
      key => sampleConfigurationSource.findEvacuatedZone(key),
      new ManualTimerService(),
      silentLogger,
    );
    apply(zones);
    expect(zones.isEvacuated(kaslo)).toBe(isEvacuated);
    expect(zones.isEvacuated('nelson' as AvailabilityZone)).toBe(false);
    expect(zones.millisecondsSinceReturn(kaslo)).toBe(isEvacuated ? undefined : 0);
  });
});

describe('following evacuations', () => {
  let timers: ManualTimerService;
  let store: MemoryTable;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    store.put(configurationAddress, sampleConfiguration(1));
  });

  async function follow(): Promise<ConfigurationFollower> {
    const follower = new ConfigurationFollower(
      store.client(),
      sampleConfigurationSource,
      timers,
      silentLogger,
      { freshMilliseconds: 3_000, usableMilliseconds: 5_000, waitMilliseconds: 1_000 },
    );
    follower.start();
    await timers.advance(100);
    return follower;
  }

  it('learns of the begin and the end from the feed', async () => {
    const { evacuatedZones } = await follow();
    store.put(address, {});
    await timers.advance(50);
    expect(evacuatedZones.isEvacuated(kaslo)).toBe(true);
    store.remove(address);
    await timers.advance(50);
    expect(evacuatedZones.isEvacuated(kaslo)).toBe(false);
  });

  it('knows it after a start, and keeps it while the store is away', async () => {
    store.put(address, {});
    const follower = await follow();
    expect(follower.evacuatedZones.isEvacuated(kaslo)).toBe(true);
    store.faults.isSilent = true;
    await timers.advance(20_000);
    expect(follower.evacuatedZones.isEvacuated(kaslo)).toBe(true);
    expect(follower.isUsable()).toBe(false);
  });

  it.each([
    ['began', true],
    ['ended', false],
  ])(
    'learns that it %s while the store was away or forgot its history',
    async (_name, isEvacuated) => {
      if (!isEvacuated) {
        store.put(address, {});
      }
      const { evacuatedZones } = await follow();
      store.faults.isSilent = true;
      await timers.advance(5_000);
      if (isEvacuated) {
        store.put(address, {});
      } else {
        store.remove(address);
      }
      store.compact();
      store.faults.isSilent = false;
      await timers.advance(1_500);
      expect(evacuatedZones.isEvacuated(kaslo)).toBe(isEvacuated);
    },
  );
});
