import type { AvailabilityZone } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { ReplicaEntry } from '../../../src/upstreams/replica.js';
import type { AnnouncingReplica } from '../../support/permitFleet.js';

import { MAXIMUM_LIST_AGE_MILLISECONDS } from '../../../src/peers/ownerSelector.js';
import { chooseAdmittedReplica } from '../../../src/upstreams/chooseAdmittedReplica.js';
import { ColdReplicas, computeColdRate } from '../../../src/upstreams/permits/coldReplicas.js';
import { countMost } from '../../support/countMost.js';
import { makeRandom } from '../../support/makeRandom.js';
import { coldRateBound, PermitFleet, warmUp } from '../../support/permitFleet.js';
import { engineService, sampleFacts, sampleReplica } from '../../support/samples.js';

/** Requests that a cold replica may get in any one second from all instances together: the operator's bound. */
const MAXIMUM_PER_SECOND = warmUp.requestsPerSecond * coldRateBound.factor + coldRateBound.slack;
const STEP_MILLISECONDS = 10;

interface Load {
  readonly fleet: PermitFleet;
  readonly replica: AnnouncingReplica;
  readonly timers: ManualTimerService;
  readonly random: () => number;
}

async function startLoad(instances: number): Promise<Load> {
  const timers = new ManualTimerService();
  const fleet = new PermitFleet(timers, instances);
  const entry = sampleReplica('r1', { coldUntil: Infinity });
  await timers.advance(10_000);
  return { fleet, random: makeRandom(7), replica: { entry, requestsPerSecond: undefined }, timers };
}

/** Lets all instances together want to send 150 requests per second to the replica. */
async function run({ fleet, random, replica, timers }: Load, milliseconds: number): Promise<void> {
  const share = (150 * STEP_MILLISECONDS) / 1_000 / fleet.instances.length;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    for (const instance of fleet.instances) {
      for (let wanted = share; !instance.isStopped && wanted > 0; wanted--) {
        if (random() < wanted) {
          void fleet.trySend(instance, replica, random() < 0.5 ? 0 : 400);
        }
      }
    }
    await timers.advance(STEP_MILLISECONDS);
  }
}

function countMostPerSecond({ fleet }: Load): number {
  return countMost(fleet.sentTimes(0), 1_000);
}

describe('the rate of a cold replica', () => {
  it.each([1, 11, 60, 195])('holds for %i instances together and is used', async instances => {
    const load = await startLoad(instances);
    await run(load, 6_000);
    expect(countMostPerSecond(load)).toBeLessThanOrEqual(MAXIMUM_PER_SECOND);
    expect(load.fleet.sentTimes(0).length).toBeGreaterThan(0.9 * warmUp.requestsPerSecond * 6);
  });

  it.each<[string, (load: Load, repetition: number) => void]>([
    [
      'some instances do not know the owner',
      ({ fleet, replica }, repetition) => {
        const owner = fleet.findOwner(replica);
        const others = fleet.instances.filter(each => each !== owner);
        fleet.register(
          others,
          fleet.instances.filter((_each, index) => index % 2 === repetition % 2),
        );
      },
    ],
    [
      'the owner does not respond',
      ({ fleet, replica }) => {
        fleet.findOwner(replica).isReachable = false;
      },
    ],
    [
      'the owner leaves',
      ({ fleet, replica }) => {
        const owner = fleet.findOwner(replica);
        fleet.unregister(owner);
        fleet.register(fleet.instances.filter(each => each !== owner));
      },
    ],
    [
      'instances restart',
      ({ fleet }, repetition) => {
        fleet.restart(repetition);
        fleet.restart(repetition + 4);
      },
    ],
    [
      'the owner restarts',
      ({ fleet, replica }) => {
        fleet.restart(fleet.instances.indexOf(fleet.findOwner(replica)));
      },
    ],
  ])('holds while %s', async (_name, fail) => {
    const load = await startLoad(11);
    await run(load, 2_000);
    for (let repetition = 0; repetition < 4; repetition++) {
      fail(load, repetition);
      await run(load, MAXIMUM_LIST_AGE_MILLISECONDS);
      load.fleet.instances.forEach(each => {
        each.isReachable = true;
      });
      load.fleet.register(load.fleet.instances);
      await run(load, 3_000);
    }
    expect(countMostPerSecond(load)).toBeLessThanOrEqual(MAXIMUM_PER_SECOND);
    expect(load.fleet.sentTimes(0).length).toBeGreaterThan(0.2 * warmUp.requestsPerSecond * 34);
  });

  it('lets the others take what a returning zone cannot', async () => {
    const timers = new ManualTimerService();
    const fleet = new PermitFleet(timers, 60);
    await timers.advance(10_000);
    const entries = Array.from({ length: 40 }, (_unused, index) =>
      sampleReplica(`r${String(index)}`, index < 10 ? { coldUntil: Infinity } : {}),
    );
    const random = makeRandom(3);
    const coldTimes = new Map(entries.slice(0, 10).map(({ id }) => [id, [] as number[]]));
    let refused = 0;
    let longestDelay = 0;
    // The idle replicas of the zone look best to every instance.
    const pool = {
      choose: ({ excluded }: { readonly excluded: ReadonlySet<string> }) =>
        entries.find(({ runId }) => !excluded.has(runId) && random() < 0.3) ??
        entries.find(({ runId }) => !excluded.has(runId)),
    };
    const request = {
      excluded: new Set<never>(),
      facts: sampleFacts(),
      isSticky: false,
      service: engineService,
      softwareVersion: undefined,
    };
    for (let sent = 0; sent < 4_000; sent++) {
      const { permits } = fleet.instances[sent % 60]!;
      void chooseAdmittedReplica(pool, permits, request, 400).then(admitted => {
        if (admitted.kind === 'none') {
          refused++;
          return;
        }
        longestDelay = Math.max(longestDelay, admitted.delayMilliseconds);
        coldTimes.get(admitted.entry.id)?.push(timers.now() + admitted.delayMilliseconds);
      });
      await timers.advance(2);
    }
    await timers.advance(1_000);
    const most = [...coldTimes.values()].map(times =>
      countMost(
        times.sort((a, b) => a - b),
        1_000,
      ),
    );
    expect(Math.max(...most)).toBeLessThanOrEqual(MAXIMUM_PER_SECOND);
    expect(refused).toBe(0);
    expect(longestDelay).toBe(0);
  });
});

describe(ColdReplicas, () => {
  const kaslo = 'kaslo' as AvailabilityZone;

  it.each<[string, Partial<ReplicaEntry>, number | undefined, number | undefined, boolean]>([
    ['an entry that says warm', {}, undefined, undefined, false],
    ['an entry that says cold', { coldUntil: 500 }, undefined, undefined, true],
    ['an entry that said so earlier', { coldUntil: 100 }, undefined, undefined, false],
    ['a response that says cold', {}, 400, undefined, true],
    ['a response that says warm', {}, 0, undefined, false],
    ['a zone taken back a moment ago', {}, undefined, 2_900, true],
    ['a zone taken back long ago', {}, undefined, 3_000, false],
  ])('follows %s', async (_name, entry, announced, sinceReturn, isCold) => {
    const timers = new ManualTimerService();
    const coldReplicas = new ColdReplicas({
      bound: coldRateBound,
      findWarmUp: service => (service === engineService.name ? warmUp : undefined),
      logger: silentLogger,
      timers,
      zones: { millisecondsSinceReturn: zone => (zone === kaslo ? sinceReturn : undefined) },
    });
    const start = timers.now();
    const coldUntil = entry.coldUntil === undefined ? undefined : start + entry.coldUntil;
    const replica = sampleReplica('r1', { availabilityZone: kaslo, coldUntil });
    if (announced !== undefined) {
      coldReplicas.record(replica, announced);
    }
    await timers.advance(200);
    expect(coldReplicas.findRate(replica)).toBe(isCold ? 20 : undefined);
    const plain = {
      ...replica,
      runId: 'other@1' as typeof replica.runId,
      service: 'plain' as typeof replica.service,
    };
    expect(coldReplicas.findRate(plain)).toBeUndefined();
  });

  it.each([
    [20, { factor: 1.5, slack: 5 }],
    [20, { factor: 1, slack: 3 }],
    [2, { factor: 1.5, slack: 5 }],
    [100, { factor: 1.2, slack: 5 }],
  ])('keeps %i requests per second within %j when three owners grant permits', (rate, bound) => {
    const coldRate = computeColdRate(rate, bound);
    expect(coldRate).toBeLessThanOrEqual(rate);
    expect(3 + 1.5 * 1.05 * coldRate).toBeLessThanOrEqual(rate * bound.factor + bound.slack + 1e-9);
  });
});
