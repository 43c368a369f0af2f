import type { ServiceName } from '@zincring/core';

import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import { EngineLoads } from '../../../src/upstreams/load/engineLoads.js';
import { makeRandom } from '../../support/makeRandom.js';

const service = 'engines' as ServiceName;

describe(EngineLoads, () => {
  let timers: ManualTimerService;

  beforeEach(() => {
    timers = new ManualTimerService();
  });

  function makeLoads(peers: number): EngineLoads {
    return new EngineLoads({ countPeers: () => peers, timers });
  }

  it('counts its own turns exactly when it is alone', () => {
    const loads = makeLoads(0);
    const ends = [loads.begin(service), loads.begin(service)];
    expect(loads.estimateTurns(service)).toBe(2);
    expect(loads.ownCounts).toEqual({ [service]: 2 });
    ends.forEach(end => {
      end();
    });
    expect(loads.estimateTurns(service)).toBe(0);
    expect(loads.ownCounts).toEqual({});
  });

  it.each([13, 87, 195, 300])(
    'estimates uneven turns of %i instances within a quarter',
    instances => {
      const random = makeRandom(instances);
      const turns = Array.from({ length: instances - 1 }, () =>
        random() < 0.5 ? 0 : Math.floor(random() * 6),
      );
      const total = turns.reduce((sum, each) => sum + each, 0);
      const loads = makeLoads(instances - 1);
      let sum = 0;
      const rounds = 200;
      for (let round = 0; round < rounds; round++) {
        for (let sample = 0; sample < 3; sample++) {
          const count = turns[Math.floor(random() * turns.length)] ?? 0;
          loads.recordPeer(count === 0 ? {} : { [service]: count });
        }
        sum += round < 10 ? 0 : (loads.estimateTurns(service) ?? 0);
      }
      const mean = sum / (rounds - 10);
      expect(mean).toBeGreaterThan(total * 0.75);
      expect(mean).toBeLessThan(total * 1.25);
    },
  );

  it('knows nothing before enough samples and after they are old', async () => {
    const loads = makeLoads(12);
    loads.begin(service);
    expect(loads.estimateTurns(service)).toBeUndefined();
    for (let sample = 0; sample < 10; sample++) {
      loads.recordPeer({ [service]: 2 });
    }
    expect(loads.estimateTurns(service)).toBeCloseTo(25);
    await timers.advance(3_001);
    expect(loads.estimateTurns(service)).toBeUndefined();
  });

  it('keeps the services apart', () => {
    const loads = makeLoads(1);
    for (let sample = 0; sample < 10; sample++) {
      loads.recordPeer({ [service]: 4, other: 1 });
    }
    expect(loads.estimateTurns(service)).toBeCloseTo(4);
    expect(loads.estimateTurns('other' as ServiceName)).toBeCloseTo(1);
  });
});
