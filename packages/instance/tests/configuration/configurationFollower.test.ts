import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { ModelInstance } from './fleetModel.js';

import { ConfigurationGossip } from '../../src/configuration/configurationGossip.js';
import { FleetModel } from './fleetModel.js';

const SEED = 140_000;
const INSTANCES = 13;
/** Number of instances in a minority. */
const MINORITY = 6;
/** Time within which a change is in force or the instance stops serving, in milliseconds. */
const IN_FORCE_MILLISECONDS = 5_000;
const STEP_MILLISECONDS = 250;
const HEALING_MILLISECONDS = 15_000;

const workspace = 'workspace w rate=1 burst=1 # a: b';
const keyLine = (digit: string): string => `key k workspace=w hash=${digit.repeat(64)} # a: b`;

async function startFleet(): Promise<FleetModel> {
  const fleet = new FleetModel(INSTANCES);
  expect(await fleet.accept('start', [workspace, keyLine('1')])).toBe(1);
  await fleet.timers.advance(IN_FORCE_MILLISECONDS);
  expect(versionsOf(fleet)).toEqual([1]);
  expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
  return fleet;
}

function versionsOf(fleet: FleetModel): readonly number[] {
  return [...new Set(fleet.instances.map(({ follower }) => follower.version))];
}

function disconnectFromStore(instances: readonly ModelInstance[], outage: 'hang' | 'refuse'): void {
  instances.forEach(({ faults }) => {
    faults.set({ outage });
  });
}

describe('ConfigurationFollower', () => {
  it('applies a change on all 13 instances within 5 s, and reports the withdrawn key', async () => {
    const fleet = await startFleet();
    const withdrawn: string[] = [];
    fleet.instances.forEach(({ follower }) => {
      follower.subscribe((_, difference) => withdrawn.push(...difference.withdrawnKeys));
    });
    expect(await fleet.accept('withdraw', [], [keyLine('1')])).toBe(2);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(versionsOf(fleet)).toEqual([2]);
    expect(withdrawn).toEqual(Array.from({ length: INSTANCES }, () => '1'.repeat(64)));
  });

  it.each(['hang', 'refuse'] as const)(
    'reads a change from peers when the store is unreachable (%s)',
    async outage => {
      const fleet = await startFleet();
      disconnectFromStore(fleet.instances.slice(1), outage);
      expect(await fleet.accept('withdraw', [], [keyLine('1')])).toBe(2);
      await fleet.timers.advance(IN_FORCE_MILLISECONDS);
      expect(versionsOf(fleet)).toEqual([2]);
      expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
    },
  );

  it('reads a newer version as soon as a peer reports it', async () => {
    const fleet = new FleetModel(2);
    await fleet.accept('start', [workspace]);
    await fleet.timers.advance(2_000);
    await fleet.accept('next', [keyLine('1')]);
    await fleet.instances[0]!.follower.poll();
    fleet.instances[0]!.exchange(fleet.instances[1]!);
    await fleet.timers.settle();
    expect(versionsOf(fleet)).toEqual([2]);
  });

  it('ignores malformed gossip', async () => {
    const fleet = await startFleet();
    const { follower, id } = fleet.instances[0]!;
    const gossip = new ConfigurationGossip(follower);
    for (const text of ['', '{', 'null', '[]', '{"version":"9"}', '{"newest":-1,"version":2}']) {
      gossip.applyUpdate(id, text);
    }
    expect([follower.newestVersion, follower.isReady]).toEqual([1, true]);
  });

  it('calls every listener when one throws', async () => {
    const fleet = await startFleet();
    const { follower } = fleet.instances[0]!;
    const notified: number[] = [];
    follower.subscribe(() => {
      throw new Error('broken');
    });
    follower.subscribe(({ version }) => notified.push(version));
    await fleet.accept('next', ['service s # a: b']);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(notified).toEqual([2]);
  });

  it('stops only an instance that can reach neither the store nor its peers', async () => {
    const fleet = await startFleet();
    const [isolated, ...others] = fleet.instances;
    disconnectFromStore([isolated!], 'hang');
    isolated!.group = 1;
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(isolated!.follower.isReady).toBe(false);
    expect(isolated!.follower.usable).toBeUndefined();
    expect(others.every(({ follower }) => follower.isReady)).toBe(true);
    isolated!.group = 0;
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect(isolated!.follower.isReady).toBe(true);
  });

  it('stops an instance that knows of a newer version but cannot read it', async () => {
    const fleet = await startFleet();
    const [lagging] = fleet.instances;
    lagging!.canReadFromPeers = false;
    disconnectFromStore([lagging!], 'refuse');
    await fleet.accept('next', [], [keyLine('1')]);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect([lagging!.follower.isReady, lagging!.follower.version]).toEqual([false, 1]);
  });

  it('stays ready while the store is unavailable to all instances, also after a restart', async () => {
    const fleet = await startFleet();
    disconnectFromStore(fleet.instances, 'hang');
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

  it('is not ready after a start until it has the newest version that a peer knows', async () => {
    const fleet = await startFleet();
    await fleet.accept('next', [], [keyLine('1')]);
    await fleet.instances[0]!.follower.poll();
    disconnectFromStore(fleet.instances, 'refuse');
    const lagging = fleet.instances[5]!;
    lagging.restart();
    expect(lagging.follower.isReady).toBe(false);
    await fleet.timers.advance(IN_FORCE_MILLISECONDS);
    expect([lagging.follower.isReady, lagging.follower.version]).toEqual([true, 2]);
  });

  it('ignores reports that peers sent before a pause of its own process', async () => {
    const fleet = await startFleet();
    const [paused, peer] = fleet.instances;
    disconnectFromStore([paused!], 'hang');
    fleet.timers.skip(60_000);
    paused!.follower.recordPeerReport({
      instance: peer!.id,
      newestVersion: 1,
      storeAgeMilliseconds: 0,
      version: 1,
    });
    expect(paused!.follower.isReady).toBe(false);
  });
});

/**
 * Step of a scenario. `cut` disconnects an instance of the minority from the store, `isolate` also
 * from its peers; `partition` moves an instance to a network partition; `lose` loses responses of
 * the store to the operator; `outage` makes the store unavailable to all instances.
 */
interface Fault {
  readonly kind:
    'accept' | 'crash' | 'cut' | 'heal' | 'isolate' | 'lose' | 'outage' | 'partition' | 'restart';
  readonly instance: number;
  readonly stepCount: number;
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
  stepCount: fc.nat(24),
});

/** Applies faults to a fleet and checks its invariants after each step. */
class FleetScenario {
  /** Time of acceptance of each version, by version. */
  private readonly acceptedAt: number[] = [0];
  private readonly highestVersions = new Map<ModelInstance['follower'], number>();
  private isStoreUnavailable = false;
  private proposedChanges = 0;

  public constructor(private readonly fleet: FleetModel) {
    this.acceptedAt.push(fleet.timers.now());
  }

  public async apply({ instance, kind, stepCount }: Fault): Promise<void> {
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
          disconnectFromStore([target], stepCount % 2 === 0 ? 'hang' : 'refuse');
        }
        break;
      case 'heal':
        this.heal();
        break;
      case 'isolate': {
        const isolated = this.fleet.instances[instance % MINORITY]!;
        disconnectFromStore([isolated], 'hang');
        isolated.group = instance + 1;
        break;
      }
      case 'lose':
        this.fleet.operatorFaults.set({ lostAnswers: stepCount % 3 });
        break;
      case 'outage':
        this.isStoreUnavailable = true;
        disconnectFromStore(this.fleet.instances, 'refuse');
        break;
      case 'partition':
        target.group = (stepCount % 3) + 1;
        break;
      case 'restart':
        target.restart();
        break;
    }
    await this.run(stepCount);
  }

  public heal(): void {
    this.isStoreUnavailable = false;
    this.fleet.instances.forEach(instance => {
      instance.faults.set({ outage: 'none' });
      instance.group = 0;
    });
  }

  public async run(stepCount: number): Promise<void> {
    for (let step = 0; step < stepCount; step++) {
      await this.fleet.timers.advance(STEP_MILLISECONDS);
      this.check();
    }
  }

  public get newest(): number {
    return this.acceptedAt.length - 1;
  }

  private async accept(): Promise<void> {
    if (this.isStoreUnavailable) {
      return;
    }
    this.proposedChanges++;
    const proposal = this.fleet.accept(`change-${this.proposedChanges}`, [
      `service s${this.proposedChanges} # a: b`,
    ]);
    const [version] = await Promise.all([proposal, this.fleet.timers.advance(1_000)]);
    expect(version).toBe(this.newest + 1);
    this.acceptedAt.push(this.fleet.timers.now() - 1_000);
  }

  private check(): void {
    const deadline = this.fleet.timers.now() - IN_FORCE_MILLISECONDS;
    const dueVersion = this.acceptedAt.filter(at => at < deadline).length - 1;
    for (const { follower, isRunning } of this.fleet.instances) {
      expect(follower.version).toBeGreaterThanOrEqual(this.highestVersions.get(follower) ?? 0);
      this.highestVersions.set(follower, follower.version);
      if (isRunning && follower.isReady) {
        expect(follower.version).toBeGreaterThanOrEqual(dueVersion);
      }
    }
  }
}

describe('13 followers under random crashes, restarts, disconnections, partitions and outages', () => {
  it('never revert, never serve a version outdated by more than 5 s, and agree after recovery', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { maxLength: 14 }), async faults => {
        const fleet = await startFleet();
        const scenario = new FleetScenario(fleet);
        for (const appliedFault of faults) {
          await scenario.apply(appliedFault);
        }
        scenario.heal();
        fleet.instances
          .filter(({ isRunning }) => !isRunning)
          .forEach(instance => {
            instance.restart();
          });
        await scenario.run(HEALING_MILLISECONDS / STEP_MILLISECONDS);
        expect(versionsOf(fleet)).toEqual([scenario.newest]);
        expect(fleet.instances.every(({ follower }) => follower.isReady)).toBe(true);
      }),
      { endOnFailure: true, numRuns: 40, seed: SEED },
    );
  });
});
