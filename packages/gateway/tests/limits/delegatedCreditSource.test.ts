import type { InstanceId } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { GatewayWorkspace } from '../../src/configuration/gatewayConfiguration.js';
import type { NamedRateLimit } from '../../src/limits/creditSource.js';
import type { OwnedCreditReply } from '../../src/limits/ownedCredit.js';
import type { PeerFaults } from '../support/faultyPeer.js';

import { DelegatedCreditSource } from '../../src/limits/delegatedCreditSource.js';
import { StoreCreditSource } from '../../src/limits/storeCreditSource.js';
import { WorkspaceRates } from '../../src/limits/workspaceRates.js';
import { OwnerSelector } from '../../src/peers/ownerSelector.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { makeOwner, makeOwnerDirectory } from '../support/fakePeer.js';
import { makeFaultyPeer } from '../support/faultyPeer.js';
import { finishWithin } from '../support/finishWithin.js';
import { makeRandom } from '../support/makeRandom.js';
import { MemoryTable } from '../support/memoryTable.js';
import {
  computeMaximumRequestsPerWindow,
  countRequestsInBusiestWindow,
} from '../support/rateWindow.js';
import { sampleWorkspace } from '../support/samples.js';

const INSTANCES = 12;
const doesNotStartProgram = async (): Promise<boolean> => await Promise.resolve(false);

describe(DelegatedCreditSource, () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let faults: PeerFaults;
  let instances: { credits: StoreCreditSource; delegated: DelegatedCreditSource }[];
  let createdRuns: number;
  const { signal } = new AbortController();

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    faults = { lateRequests: 0, lostAnswers: 0, lostRequests: 0 };
    instances = [];
    createdRuns = 0;
  });

  /** Starts an instance, or starts it anew without what it knew. */
  function startInstance(index: number, table = store.client()): void {
    const credits = new StoreCreditSource({
      holder: `run-${String(createdRuns++)}`,
      logger: silentLogger,
      random: makeRandom(index + 1),
      table: new MonitoredTable(table, timers),
      timers,
    });
    const owners = Array.from({ length: INSTANCES }, (_unused, other) => other)
      .filter(other => other !== index)
      .map(other => {
        const inner = makeOwner('inner', {
          acquireOwned: async bucket => await instances[other]!.credits.acquireOwned(bucket),
        }).peer;
        const random = makeRandom(index * INSTANCES + other + 7);
        return makeOwner(
          `entry-${String(other)}`,
          makeFaultyPeer(() => inner, timers, random, faults),
        );
      });
    const instance = `entry-${String(index)}` as InstanceId;
    const selector = new OwnerSelector(instance, makeOwnerDirectory(owners), timers, silentLogger);
    const delegated = new DelegatedCreditSource({ local: credits, owners: selector, timers });
    instances[index] = { credits, delegated };
  }

  function startInstances(): void {
    for (let index = 0; index < INSTANCES; index++) {
      startInstance(index);
    }
  }

  async function sendRequests(
    bucket: NamedRateLimit,
    perSecond: number,
    seconds: number,
  ): Promise<{ readonly admitted: readonly number[]; readonly refused: number }> {
    const random = makeRandom(99);
    const admitted: number[] = [];
    let refused = 0;
    const waiting: Promise<void>[] = [];
    for (let elapsed = 0; elapsed < seconds * 1_000; elapsed += 10) {
      for (let remaining = Math.floor(perSecond / 100 + random()); remaining > 0; remaining--) {
        const { delegated } = instances[Math.floor(random() * INSTANCES)]!;
        const pending = delegated.acquire(bucket, signal).then(admission => {
          if (admission.ok) {
            admitted.push(timers.now());
          } else {
            refused++;
          }
        });
        waiting.push(pending);
      }
      await timers.advance(10);
    }
    await timers.advance(2_000);
    await Promise.all(waiting);
    return { admitted, refused };
  }

  it.each([
    { burst: 10, ratePerSecond: 10 },
    { burst: 50, ratePerSecond: 50 },
  ])(
    'refuses no request below a rate of $ratePerSecond per second and needs few transactions',
    async limit => {
      startInstances();
      const bucket = { ...limit, name: 'clerks' };
      const { admitted, refused } = await sendRequests(bucket, limit.ratePerSecond * 0.6, 10);
      expect(refused).toBe(0);
      expect(store.transactions / admitted.length).toBeLessThan(0.25);
    },
  );

  it.each([
    ['calls between instances are sound', {}],
    [
      'calls between instances are lost',
      { lateRequests: 0.1, lostAnswers: 0.1, lostRequests: 0.1 },
    ],
    ['no instance reaches another', { lostRequests: 1 }],
  ] as const)('keeps the limit while %s', async (_name, overrides) => {
    startInstances();
    Object.assign(faults, overrides);
    const bucket = { burst: 30, name: 'clerks', ratePerSecond: 30 };
    const { admitted } = await sendRequests(bucket, 90, 12);
    expect(countRequestsInBusiestWindow(admitted)).toBeLessThanOrEqual(
      computeMaximumRequestsPerWindow(bucket),
    );
    expect(admitted.length).toBeGreaterThan(30 * 12 * 0.8);
  });

  it('keeps the limit and refuses few requests while instances restart', async () => {
    startInstances();
    const random = makeRandom(3);
    const restarts = timers.every(800, () => {
      startInstance(Math.floor(random() * INSTANCES));
    });
    const bucket = { burst: 40, name: 'clerks', ratePerSecond: 40 };
    const { admitted, refused } = await sendRequests(bucket, 24, 15);
    restarts.stop();
    expect(refused / (admitted.length + refused)).toBeLessThan(0.02);
    expect(countRequestsInBusiestWindow(admitted)).toBeLessThanOrEqual(
      computeMaximumRequestsPerWindow(bucket),
    );
  });

  it.each(['unreachable', 'without-store'] as const)(
    'draws credit itself when the owners are %s',
    async kind => {
      startInstances();
      const owner = makeOwner('entry-owner', {
        acquireOwned: async () => await Promise.resolve({ kind }),
      });
      const selector = new OwnerSelector(
        'self' as InstanceId,
        makeOwnerDirectory([owner]),
        timers,
        silentLogger,
      );
      const { credits } = instances[0]!;
      const delegated = new DelegatedCreditSource({ local: credits, owners: selector, timers });
      for (let index = 0; index < 20; index++) {
        const bucket = { burst: 10, name: `bucket-${String(index)}`, ratePerSecond: 10 };
        const admission = await finishWithin(timers, delegated.acquire(bucket, signal), 1_000);
        expect(admission.ok).toBe(true);
      }
    },
  );

  it('serves a workspace at its rate while the store is slow', async () => {
    startInstances();
    store.faults.latencyMilliseconds = 120;
    const bucket = { burst: 20, name: 'clerks', ratePerSecond: 20 };
    const { admitted } = await sendRequests(bucket, 30, 12);
    expect(admitted.length).toBeGreaterThan(20 * 12 * 0.8);
    expect(countRequestsInBusiestWindow(admitted)).toBeLessThanOrEqual(
      computeMaximumRequestsPerWindow(bucket),
    );
  });

  it('denies further requests without asking the owner until credit may be left', async () => {
    let asked = 0;
    const reply: OwnedCreditReply = {
      isOverRate: true,
      kind: 'denied',
      retryAfterMilliseconds: 400,
    };
    const owner = makeOwner('entry-owner', {
      acquireOwned: async () => {
        asked++;
        return await Promise.resolve(reply);
      },
    });
    const selector = new OwnerSelector(
      'a' as InstanceId,
      makeOwnerDirectory([owner]),
      timers,
      silentLogger,
    );
    startInstances();
    const { credits } = instances[0]!;
    const delegated = new DelegatedCreditSource({ local: credits, owners: selector, timers });
    const bucket = Array.from({ length: 50 }, (_unused, index) => ({
      burst: 10,
      name: `bucket-${String(index)}`,
      ratePerSecond: 10,
    })).find(({ name }) => selector.choose(name) !== undefined)!;
    for (let request = 0; request < 5; request++) {
      const admission = await finishWithin(timers, delegated.acquire(bucket, signal), 1_000);
      expect(admission.err && admission.val.kind).toBe('rate-limited');
      expect(admission.err && admission.val.retryAfterSeconds).toBeGreaterThan(0);
    }
    expect(asked).toBe(1);
    expect(delegated.isOverRate(bucket)).toBe(true);
    await timers.advance(500);
    await finishWithin(timers, delegated.acquire(bucket, signal), 1_000);
    expect(asked).toBe(2);
  });

  /** Changes the rate of a workspace every two seconds while owners are replaced. */
  async function playChangedRates(
    workspaces: readonly GatewayWorkspace[],
    perSecond: number,
  ): Promise<{ readonly admitted: readonly number[]; readonly refused: number }> {
    startInstances();
    const allRates = instances.map(
      ({ delegated }, index) =>
        new WorkspaceRates(`entry-${String(index)}` as InstanceId, delegated, timers),
    );
    const admitted: number[] = [];
    let refused = 0;
    const random = makeRandom(3);
    for (const workspace of workspaces) {
      allRates.forEach(rates => {
        rates.recordWorkspaces([workspace]);
      });
      for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
        for (let count = Math.floor(perSecond / 100 + random()); count > 0; count--) {
          const rates = allRates[Math.floor(random() * INSTANCES)]!;
          void rates.admit(workspace, signal, doesNotStartProgram).then(({ ok }) => {
            if (ok) {
              admitted.push(timers.now());
            } else {
              refused++;
            }
          });
        }
        await timers.advance(10);
      }
      startInstance(Math.floor(random() * INSTANCES));
      startInstance(Math.floor(random() * INSTANCES));
    }
    await timers.advance(3_000);
    return { admitted, refused };
  }

  describe.each([
    ['raised across a step', [100, 130]],
    ['lowered across a step', [130, 100]],
    ['raised and lowered again within a window', [100, 130, 100]],
    ['lowered and raised again within a window', [130, 100, 130]],
    ['raised across several steps', [100, 300]],
  ])('while owners change and the rate is %s', (_name, ratesPerSecond) => {
    const limits = ratesPerSecond.map(ratePerSecond => ({ burst: 600, ratePerSecond }));
    const workspaces = limits.map(sampleWorkspace);

    it('keeps a workspace that asks for more within the bound of the greatest rate', async () => {
      const { admitted } = await playChangedRates(workspaces, 800);
      expect(countRequestsInBusiestWindow(admitted)).toBeLessThanOrEqual(
        Math.max(...limits.map(computeMaximumRequestsPerWindow)),
      );
    });

    it('refuses no request below the rate', async () => {
      expect((await playChangedRates(workspaces, 65)).refused).toBe(0);
    });
  });
});
