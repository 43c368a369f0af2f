import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { ReplicaEntry, SoftwareVersion } from '../../src/upstreams/replica.js';

import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { engineService, sampleReplica } from '../support/samples.js';

const WINDOW_MILLISECONDS = 6_000;

describe(VersionHistory, () => {
  let timers: ManualTimerService;
  let history: VersionHistory;
  let entries: readonly ReplicaEntry[];
  let ageMilliseconds: number;
  let notify: () => void;

  beforeEach(() => {
    timers = new ManualTimerService();
    entries = [];
    ageMilliseconds = 0;
    notify = () => undefined;
    history = new VersionHistory(
      {
        ageMilliseconds: () => ageMilliseconds,
        interruptionCount: () => 0,
        listAll: () => entries,
        subscribe: listener => {
          notify = listener;
        },
      },
      timers,
    );
  });

  /** Registers replicas of the given versions and waits for some seconds. */
  async function serve(versions: readonly string[], seconds: number): Promise<void> {
    entries = versions.map((version, index) =>
      sampleReplica(`r${String(index)}`, { softwareVersion: version as SoftwareVersion }),
    );
    notify();
    history.update();
    await timers.advance(seconds * 1_000);
  }

  it.each([
    ['one version for the whole window', [[['v1', 'v1'], 7]], 'v1', 'v1'],
    ['one version for a part of the window', [[['v1'], 5]], undefined, undefined],
    [
      'a second version since two seconds',
      [
        [['v1'], 9],
        [['v1', 'v2'], 2],
      ],
      'v1',
      undefined,
    ],
    [
      'a second version for the whole window',
      [
        [['v1'], 9],
        [['v1', 'v2'], 7],
      ],
      undefined,
      undefined,
    ],
    [
      'the second version alone again',
      [
        [['v1', 'v2'], 9],
        [['v2'], 2],
      ],
      undefined,
      undefined,
    ],
    [
      'the second version alone for the whole window',
      [
        [['v1', 'v2'], 9],
        [['v2'], 7],
      ],
      'v2',
      'v2',
    ],
    [
      'one version after the other',
      [
        [['v1'], 9],
        [['v1', 'v2'], 2],
        [['v2'], 2],
      ],
      undefined,
      undefined,
    ],
    [
      'no replica for some seconds',
      [
        [['v1'], 9],
        [[], 2],
        [['v1'], 2],
      ],
      'v1',
      'v1',
    ],
  ] as const)('tells which version is assumed: %s', async (_name, steps, assumed, sole) => {
    for (const [versions, seconds] of steps) {
      await serve(versions, seconds);
    }
    expect(history.findAssumedVersion(engineService.name, WINDOW_MILLISECONDS)).toBe(assumed);
    expect(history.findSoleVersion(engineService.name, WINDOW_MILLISECONDS)).toBe(sole);
  });

  it.each([
    ['a second version since two seconds', 9, 2, false, true],
    ['a second version for the whole window', 9, 7, false, false],
    ['a second version since the instance began to observe', 0, 2, true, true],
  ])(
    'tells whether another version may be found: %s',
    async (_name, secondsAlone, secondsBoth, ofFirst, ofSecond) => {
      if (secondsAlone > 0) {
        await serve(['v1'], secondsAlone);
      }
      await serve(['v1', 'v2'], secondsBoth);
      const results = ['v1', 'v2'].map(version =>
        history.mayFindOtherVersion(
          engineService.name,
          version as SoftwareVersion,
          WINDOW_MILLISECONDS,
        ),
      );
      expect(results).toEqual([ofFirst, ofSecond]);
    },
  );

  it('does not vouch for a time in which the list was not confirmed', async () => {
    await serve(['v1'], 9);
    ageMilliseconds = 3_000;
    expect(history.findSoleVersion(engineService.name, WINDOW_MILLISECONDS)).toBeUndefined();
    ageMilliseconds = 0;
    history.update();
    await timers.advance(WINDOW_MILLISECONDS - 1);
    expect(history.findSoleVersion(engineService.name, WINDOW_MILLISECONDS)).toBeUndefined();
    await timers.advance(1);
    expect(history.findSoleVersion(engineService.name, WINDOW_MILLISECONDS)).toBe('v1');
  });
});
