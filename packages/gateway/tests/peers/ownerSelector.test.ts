import type { InstanceId } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { Owner } from '../../src/peers/ownerSelector.js';

import { OwnerSelector } from '../../src/peers/ownerSelector.js';
import { makeOwner, makeOwnerDirectory } from '../support/fakePeer.js';

const KEYS = Array.from({ length: 400 }, (_unused, index) => `clerks/program-${String(index)}`);

describe(OwnerSelector, () => {
  let timers: ManualTimerService;

  beforeEach(() => {
    timers = new ManualTimerService();
  });

  function makeOwners(count: number): Owner[] {
    return Array.from({ length: count }, (_unused, index) => makeOwner(`entry-${String(index)}`));
  }

  function makeSelector(self: string, all: readonly Owner[]): OwnerSelector {
    const owners = all.filter(({ instance }) => instance !== self);
    return new OwnerSelector(self as InstanceId, makeOwnerDirectory(owners), timers, silentLogger);
  }

  function chooseName(selector: OwnerSelector, self: string, key: string): string {
    return selector.choose(key)?.instance ?? self;
  }

  it('chooses the same owner at every instance', () => {
    const all = makeOwners(9);
    const selectors = all.map(({ instance }) => ({
      instance,
      selector: makeSelector(instance, all),
    }));
    for (const key of KEYS) {
      const chosen = selectors.map(({ instance, selector }) => chooseName(selector, instance, key));
      expect(new Set(chosen).size).toBe(1);
    }
  });

  it('spreads the keys over all instances', () => {
    const all = makeOwners(10);
    const selector = makeSelector('entry-0', all);
    const counts = new Map<string, number>();
    for (const key of KEYS) {
      const name = chooseName(selector, 'entry-0', key);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts.size).toBe(10);
    expect(Math.max(...counts.values())).toBeLessThan((3 * KEYS.length) / 10);
  });

  it('moves only the keys of an instance that leaves', () => {
    const directory = makeOwnerDirectory(makeOwners(8));
    const selector = new OwnerSelector('self' as InstanceId, directory, timers, silentLogger);
    const before = KEYS.map(key => chooseName(selector, 'self', key));
    directory.owners = directory.owners.filter(({ instance }) => instance !== 'entry-3');
    const after = KEYS.map(key => chooseName(selector, 'self', key));
    const moved = before.filter((name, index) => name !== after[index]);
    expect(new Set(moved)).toEqual(new Set(['entry-3']));
    expect(after).not.toContain('entry-3');
  });

  it('ranks one instance first for each key, also while that one does not respond', () => {
    const all = makeOwners(9);
    const selectors = all.map(({ instance }) => makeSelector(instance, all));
    for (const key of KEYS) {
      const chosen = selectors[0]!.choose(key);
      if (chosen !== undefined) {
        selectors[0]!.recordFailure(chosen, 'unreachable');
      }
      expect(selectors.filter(selector => selector.ranksFirst(key))).toHaveLength(1);
    }
  });

  it('leaves out an instance that does not respond, each time for longer, until it responds', async () => {
    const owner = makeOwner('entry-1');
    const selector = new OwnerSelector(
      'self' as InstanceId,
      makeOwnerDirectory([owner]),
      timers,
      silentLogger,
    );
    const key = KEYS.find(each => selector.choose(each) !== undefined)!;
    selector.recordFailure(owner, 'unreachable');
    expect(selector.choose(key)).toBeUndefined();
    await timers.advance(1_000);
    expect(selector.choose(key)).toBe(owner);
    selector.recordFailure(owner, 'unreachable');
    await timers.advance(1_500);
    expect(selector.choose(key)).toBeUndefined();
    await timers.advance(500);
    expect(selector.choose(key)).toBe(owner);
    selector.recordSuccess(owner);
    selector.recordFailure(owner, 'unreachable');
    await timers.advance(1_000);
    expect(selector.choose(key)).toBe(owner);
  });

  it('leaves out an instance without the store for the same time each time', async () => {
    const owner = makeOwner('entry-1');
    const selector = new OwnerSelector(
      'self' as InstanceId,
      makeOwnerDirectory([owner]),
      timers,
      silentLogger,
    );
    const key = KEYS.find(each => selector.choose(each) !== undefined)!;
    for (let round = 0; round < 6; round++) {
      selector.recordFailure(owner, 'without-store');
      expect(selector.choose(key)).toBeUndefined();
      await timers.advance(1_000);
      expect(selector.choose(key)).toBe(owner);
    }
  });
});
