import { ManualTimerService } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { AnnouncingReplica } from '../../support/permitFleet.js';

import { MAXIMUM_LIST_AGE_MILLISECONDS } from '../../../src/peers/ownerSelector.js';
import { countMost } from '../../support/countMost.js';
import { makeRandom } from '../../support/makeRandom.js';
import { PermitFleet } from '../../support/permitFleet.js';
import { sampleReplica } from '../../support/samples.js';

/** Requests that a replica may get within four seconds: the bound of the operator. */
function computeBound(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * 4 + 5;
}

const WINDOW_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 50;
/** Time for which instances with lists that count as current may know different sets of instances. */
const VIEW_DIFFERENCE_MILLISECONDS = MAXIMUM_LIST_AGE_MILLISECONDS;

interface Load {
  readonly fleet: PermitFleet;
  readonly timers: ManualTimerService;
  readonly replica: AnnouncingReplica;
}

/** Lets every instance want to send a request at the given mean interval, in milliseconds. */
async function run(
  { fleet, replica, timers }: Load,
  durationMilliseconds: number,
  intervalMilliseconds: number,
  maximumWaitMilliseconds = 0,
): Promise<void> {
  const random = makeRandom(fleet.instances.length);
  for (let elapsed = 0; elapsed < durationMilliseconds; elapsed += STEP_MILLISECONDS) {
    for (const instance of fleet.instances) {
      if (!instance.isStopped && random() < STEP_MILLISECONDS / intervalMilliseconds) {
        void fleet.trySend(instance, replica, maximumWaitMilliseconds);
      }
    }
    await timers.advance(STEP_MILLISECONDS);
  }
}

function startLoad(instances: number, requestsPerSecond: number): Load {
  const timers = new ManualTimerService();
  const fleet = new PermitFleet(timers, instances);
  return { fleet, replica: { entry: sampleReplica('r1'), requestsPerSecond }, timers };
}

/** Lets all instances learn of the limit, each from a response to a request without a permit. */
async function announce({ fleet, replica, timers }: Load): Promise<void> {
  await timers.advance(10_000);
  for (const { permits } of fleet.instances) {
    permits.record(replica.entry, replica.requestsPerSecond);
  }
}

describe('the rate that a replica announced', () => {
  it.each([
    { instances: 1, rate: 3 },
    { instances: 11, rate: 2.6 },
    { instances: 60, rate: 0.5 },
    { instances: 60, rate: 5.5 },
    { instances: 300, rate: 0.3 },
    { instances: 300, rate: 8 },
  ])(
    'is neither exceeded nor left unused by $instances instances at $rate requests per second',
    async ({ instances, rate }) => {
      const load = startLoad(instances, rate);
      await announce(load);
      const startedAt = load.timers.now();
      await run(load, 30_000, instances * 20, 400);
      const sent = load.fleet.sentTimes(startedAt);
      expect(countMost(sent, WINDOW_MILLISECONDS)).toBeLessThanOrEqual(computeBound(rate));
      expect(sent.length).toBeGreaterThanOrEqual(Math.floor(0.9 * rate * 30));
    },
  );

  it.each([11, 60, 300])(
    'is not exceeded by a burst of one request at each of %i instances',
    async instances => {
      const load = startLoad(instances, 0.2);
      await announce(load);
      const outcomes = await Promise.all([
        ...load.fleet.instances.map(each => load.fleet.trySend(each, load.replica, 0)),
        load.timers.advance(200),
      ]);
      expect(outcomes.filter(isGranted => isGranted === true)).toHaveLength(1);
    },
  );

  it('is used by one busy instance alone', async () => {
    const load = startLoad(60, 5);
    await announce(load);
    load.fleet.instances.slice(1).forEach(each => {
      each.isStopped = true;
    });
    const startedAt = load.timers.now();
    await run(load, 20_000, 100, 400);
    expect(load.fleet.sentTimes(startedAt).length).toBeGreaterThan(0.9 * 5 * 20);
  });

  it.each(['is not registered for some instances yet', 'does not respond'])(
    'is not exceeded when the owner %s',
    async fault => {
      const load = startLoad(11, 6);
      await announce(load);
      await run(load, 5_000, 200);
      const { fleet } = load;
      const owner = fleet.findOwner(load.replica);
      const startedAt = load.timers.now();
      for (let repetition = 0; repetition < 4; repetition++) {
        owner.isReachable = fault !== 'does not respond';
        const others = fleet.instances.filter(each => each !== owner);
        fleet.register(
          owner.isReachable ? others : fleet.instances,
          fleet.instances.filter((_each, index) => index % 2 === repetition % 2),
        );
        await run(load, VIEW_DIFFERENCE_MILLISECONDS, 200);
        owner.isReachable = true;
        fleet.register(fleet.instances);
        await run(load, 5_000, 200);
      }
      const sent = fleet.sentTimes(startedAt);
      expect(countMost(sent, WINDOW_MILLISECONDS)).toBeLessThanOrEqual(computeBound(6));
    },
  );

  it('is not exceeded when the list of one instance stays out of date', async () => {
    const load = startLoad(11, 6);
    await announce(load);
    await run(load, 10_000, 100);
    const { fleet, timers } = load;
    const startedAt = timers.now();
    const owner = fleet.findOwner(load.replica);
    const others = fleet.instances.filter(each => each !== owner);
    fleet.unregister(owner);
    const outdated = fleet.findOwner(load.replica, others);
    await run(load, 10_000, 100);
    outdated.outdatedSince = timers.now();
    fleet.register(fleet.instances, others.filter(each => each !== outdated).concat(owner));
    await run(load, 15_000, 100);
    outdated.outdatedSince = undefined;
    fleet.register(fleet.instances);
    await run(load, 10_000, 100);
    const sent = fleet.sentTimes(startedAt);
    expect(countMost(sent, WINDOW_MILLISECONDS)).toBeLessThanOrEqual(computeBound(6));
  });

  it('is not exceeded while the instances are restarted one after the other', async () => {
    const load = startLoad(11, 4);
    await announce(load);
    const startedAt = load.timers.now();
    for (let index = 0; index < 11; index++) {
      load.fleet.restart(index);
      await run(load, 1_500, 200);
    }
    const sent = load.fleet.sentTimes(startedAt);
    expect(countMost(sent, WINDOW_MILLISECONDS)).toBeLessThanOrEqual(computeBound(4));
  });

  it('is not kept to any longer by any instance once a response shows that it has ended', async () => {
    const load = startLoad(60, 2);
    await announce(load);
    await run(load, 4_000, 500);
    load.replica.requestsPerSecond = undefined;
    const first = load.fleet.instances[0]!;
    while (first.permits.isLimited(load.replica.entry)) {
      void load.fleet.trySend(first, load.replica, 0);
      await load.timers.advance(100);
    }
    for (const instance of load.fleet.instances) {
      const [isGranted] = await Promise.all([
        load.fleet.trySend(instance, load.replica, 0),
        load.timers.advance(20),
      ]);
      expect(isGranted).toBe(true);
    }
  });

  it('is followed when it changes', async () => {
    const load = startLoad(11, 8);
    await announce(load);
    await run(load, 5_000, 100);
    load.replica.requestsPerSecond = 1;
    await run(load, 4_000, 100);
    const startedAt = load.timers.now();
    await run(load, 12_000, 100);
    const sent = load.fleet.sentTimes(startedAt);
    expect(countMost(sent, WINDOW_MILLISECONDS)).toBeLessThanOrEqual(computeBound(1));
    expect(sent.length).toBeGreaterThanOrEqual(10);
  });
});
