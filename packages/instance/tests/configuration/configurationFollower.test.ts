import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { ModelInstance } from './fleetModel.js';

import { ConfigurationGossip } from '../../src/configuration/configurationGossip.js';
import { FleetModel } from './fleetModel.js';

const SEED = 140_000;
const INSTANCES = 13;
/** Fewer than half of the instances. */
const MINORITY = 6;
/** Within how long a change must be in force, or an instance stops serving, in milliseconds. */
const IN_FORCE_MILLISECONDS = 5_000;
const STEP_MILLISECONDS = 250;
const HEALING_MILLISECONDS = 15_000;

const workspace = 'workspace w rate=1 burst=1 # a: b';
const keyOf = (digit: string): string => `key k workspace=w hash=${digit.repeat(64)} # a: b`;

async function startFleet(): Promise<FleetModel> {
  const fleet = new FleetModel(INSTANCES);
  expect(await fleet.accept('start', [workspace, keyOf('1')])).toBe(1);
  await fleet.timers.advance(IN_FORCE_MILLISECONDS);
  expect(versionsOf(fleet)).toEqual([1]);
  expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
  return fleet;
}

function versionsOf(fleet: FleetModel): readonly number[] {
  return [...new Set(fleet.instances.map(({ follower }) => follower.version))];
}

function cutFromStore(instances: readonly ModelInstance[], outage: 'hang' | 'refuse'): void {
  instances.forEach(({ faults }) => {
    faults.set({ outage });
  });
}

describe('ConfigurationFollower', () => {
  it('has a change in force on all of 13 instances within 5 s, and tells of the key that went', async () => {
    const fleet = await startFleet();
    const withdrawn: string[] = [];
    fleet.instances.forEach(({ follower }) => {
      follower.subscribe((_, difference) => withdrawn.push(...difference.withdrawnKeys));
    });
    expect(await fleet.accept('withdraw', [], [keyOf('1')])).toBe(2);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(versionsOf(fleet)).toEqual([2]);
    expect(withdrawn).toEqual(Array.from({ length: INSTANCES }, () => '1'.repeat(64)));
  });

  it.each(['hang', 'refuse'] as const)(
    'gets a change through peers where the way to the store is cut (%s)',
    async outage => {
      const fleet = await startFleet();
      cutFromStore(fleet.instances.slice(1), outage);
      expect(await fleet.accept('withdraw', [], [keyOf('1')])).toBe(2);
      await fleet.timers.advance(IN_FORCE_MILLISECONDS);
      expect(versionsOf(fleet)).toEqual([2]);
      expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
    },
  );

  it('looks at once when a peer tells of a newer version', async () => {
    const fleet = new FleetModel(2);
    await fleet.accept('start', [workspace]);
    await fleet.timers.advance(2_000);
    await fleet.accept('next', [keyOf('1')]);
    await fleet.instances[0]!.follower.poll();
    fleet.instances[0]!.exchange(fleet.instances[1]!);
    await fleet.timers.settle();
    expect(versionsOf(fleet)).toEqual([2]);
  });

  it('passes over gossip that it does not understand', async () => {
    const fleet = await startFleet();
    const { follower, id } = fleet.instances[0]!;
    const gossip = new ConfigurationGossip(follower);
    for (const text of ['', '{', 'null', '[]', '{"version":"9"}', '{"newest":-1,"version":2}']) {
      gossip.hear(id, text);
    }
    expect([follower.newestVersion, follower.isReady]).toEqual([1, true]);
  });

  it('tells every listener although one fails', async () => {
    const fleet = await startFleet();
    const { follower } = fleet.instances[0]!;
    const told: number[] = [];
    follower.subscribe(() => {
      throw new Error('broken');
    });
    follower.subscribe(({ version }) => told.push(version));
    await fleet.accept('next', ['service s # a: b']);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(told).toEqual([2]);
  });

  it('stops an instance that sees neither the store nor a peer that does, and only that', async () => {
    const fleet = await startFleet();
    const [lonely, ...others] = fleet.instances;
    cutFromStore([lonely!], 'hang');
    lonely!.group = 1;
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(lonely!.follower.isReady).toBe(false);
    expect(lonely!.follower.usable).toBeUndefined();
    expect(others.every(({ follower }) => follower.isReady)).toBe(true);
    lonely!.group = 0;
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(lonely!.follower.isReady).toBe(true);
  });

  it('stops an instance that hears of a newer version and cannot get it', async () => {
    const fleet = await startFleet();
    const [late] = fleet.instances;
    late!.canAskPeers = false;
    cutFromStore([late!], 'refuse');
    await fleet.accept('next', [], [keyOf('1')]);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect([late!.follower.isReady, late!.follower.version]).toEqual([false, 1]);
  });

  it('goes on through an outage of the store for all, restarts included', async () => {
    const fleet = await startFleet();
    cutFromStore(fleet.instances, 'hang');
    for (let minute = 0; minute < 15; minute++) {
      await fleet.timers.advance(60_000);
      expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
    }
    const restarted = fleet.instances[3]!;
    restarted.restart();
    expect(restarted.follower.isReady).toBe(false);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect([restarted.follower.isReady, restarted.follower.version]).toEqual([true, 1]);
  });

  it('is not ready after a start before it has what a peer knows', async () => {
    const fleet = await startFleet();
    await fleet.accept('next', [], [keyOf('1')]);
    await fleet.instances[0]!.follower.poll();
    cutFromStore(fleet.instances, 'refuse');
    const late = fleet.instances[5]!;
    late.restart();
    expect(late.follower.isReady).toBe(false);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect([late.follower.isReady, late.follower.version]).toEqual([true, 2]);
  });

  it('does not believe what peers sent before a pause of its own process', async () => {
    const fleet = await startFleet();
    const [frozen, peer] = fleet.instances;
    cutFromStore([frozen!], 'hang');
    fleet.timers.skip(60_000);
    frozen!.follower.hear({
      instance: peer!.id,
      newestVersion: 1,
      storeAgeMilliseconds: 0,
      version: 1,
    });
    expect(frozen!.follower.isReady).toBe(false);
  });
});

interface Fault {
  readonly kind:
    'accept' | 'crash' | 'cut' | 'heal' | 'isolate' | 'lose' | 'outage' | 'partition' | 'restart';
  readonly instance: number;
  readonly steps: number;
}

const fault: fc.Arbitrary<Fault> = fc.record({
  instance: fc.nat(INSTANCES - 1),
  kind: fc.constantFrom(
    'accept',
    'accept',
    'crash',
    'cut',
    'heal',
    'isolate',
    'isolate',
    'lose',
    'outage',
    'partition',
    'restart',
  ),
  steps: fc.nat(24),
});

/** Drives a fleet through faults and watches what must always hold. */
class Watch {
  private readonly acceptedAt: number[] = [0];
  private readonly highest = new Map<ModelInstance['follower'], number>();
  private isOutForAll = false;
  private proposals = 0;

  public constructor(private readonly fleet: FleetModel) {
    this.acceptedAt.push(fleet.timers.now());
  }

  public async apply({ instance, kind, steps }: Fault): Promise<void> {
    const target = this.fleet.instances[instance]!;
    switch (kind) {
      case 'accept':
        await this.accept();
        break;
      case 'crash':
        target.crash();
        break;
      case 'cut':
        if (this.fleet.instances.slice(0, MINORITY).includes(target)) {
          cutFromStore([target], steps % 2 === 0 ? 'hang' : 'refuse');
        }
        break;
      case 'heal':
        this.heal();
        break;
      case 'isolate': {
        const lonely = this.fleet.instances[instance % MINORITY]!;
        cutFromStore([lonely], 'hang');
        lonely.group = instance + 1;
        break;
      }
      case 'lose':
        this.fleet.operatorFaults.set({ lostAnswers: steps % 3 });
        break;
      case 'outage':
        this.isOutForAll = true;
        cutFromStore(this.fleet.instances, 'refuse');
        break;
      case 'partition':
        target.group = (steps % 3) + 1;
        break;
      case 'restart':
        target.restart();
        break;
    }
    await this.run(steps);
  }

  public heal(): void {
    this.isOutForAll = false;
    this.fleet.instances.forEach(instance => {
      instance.faults.set({ outage: 'none' });
      instance.group = 0;
    });
  }

  public async run(steps: number): Promise<void> {
    for (let step = 0; step < steps; step++) {
      await this.fleet.timers.advance(STEP_MILLISECONDS);
      this.check();
    }
  }

  public get newest(): number {
    return this.acceptedAt.length - 1;
  }

  private async accept(): Promise<void> {
    if (this.isOutForAll) {
      return;
    }
    this.proposals++;
    const proposal = this.fleet.accept(`change-${this.proposals}`, [
      `service s${this.proposals} # a: b`,
    ]);
    const [version] = await Promise.all([proposal, this.fleet.timers.advance(1_000)]);
    expect(version).toBe(this.newest + 1);
    this.acceptedAt.push(this.fleet.timers.now() - 1_000);
  }

  private check(): void {
    const deadline = this.fleet.timers.now() - IN_FORCE_MILLISECONDS;
    const due = this.acceptedAt.filter(at => at < deadline).length - 1;
    for (const { follower, isRunning } of this.fleet.instances) {
      expect(follower.version).toBeGreaterThanOrEqual(this.highest.get(follower) ?? 0);
      this.highest.set(follower, follower.version);
      if (isRunning && follower.isReady) {
        expect(follower.version).toBeGreaterThanOrEqual(due);
      }
    }
  }
}

describe('13 followers through any crashes, restarts, cuts, partitions and outages', () => {
  it('never revert, never serve an old version for more than 5 s, and agree after healing', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { maxLength: 14 }), async faults => {
        const fleet = await startFleet();
        const watch = new Watch(fleet);
        for (const each of faults) {
          await watch.apply(each);
        }
        watch.heal();
        fleet.instances
          .filter(({ isRunning }) => !isRunning)
          .forEach(instance => {
            instance.restart();
          });
        await watch.run(HEALING_MILLISECONDS / STEP_MILLISECONDS);
        expect(versionsOf(fleet)).toEqual([watch.newest]);
        expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
      }),
      { endOnFailure: true, numRuns: 40, seed: SEED },
    );
  });
});
