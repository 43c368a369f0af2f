import type { ConfigurationVersion, KeyHash } from '@zincring/core';
import type { Configuration } from '@zincring/rules';
import type { ConfigurationListener } from '../../src/configuration/configurationFollower.js';

import { createConfiguration, parseRules } from '@zincring/rules';
import { describe, expect, it } from 'vitest';

import { KeyWatch } from '../../src/configuration/keyWatch.js';

const first = 'a'.repeat(64) as KeyHash;
const second = 'b'.repeat(64) as KeyHash;

function configurationOf(...hashes: readonly KeyHash[]): Configuration {
  const keys = hashes.map((hash, index) => `key k${index} workspace=w hash=${hash} # a: b`);
  const rules = parseRules(['workspace w rate=1 burst=1 # a: b', ...keys].join('\n')).unwrap();
  return createConfiguration(1 as ConfigurationVersion, rules);
}

function setUp(maximumListeners = 10): {
  readonly watch: KeyWatch;
  readonly withdraw: (keyHash: KeyHash, rest: Configuration) => void;
} {
  const listeners: ConfigurationListener[] = [];
  const follower = {
    current: configurationOf(first, second),
    subscribe: (listener: ConfigurationListener) => {
      listeners.push(listener);
      return { stop: () => undefined };
    },
  };
  const withdraw = (keyHash: KeyHash, rest: Configuration): void => {
    follower.current = rest;
    const difference = { previousVersion: undefined, withdrawnKeys: [keyHash] };
    listeners.forEach(listener => {
      listener(rest, difference);
    });
  };
  return { watch: new KeyWatch({ follower, maximumListeners }), withdraw };
}

describe('KeyWatch', () => {
  it('tells each listener of the withdrawn key once, and no other', () => {
    const { watch, withdraw } = setUp();
    const told: string[] = [];
    const tell = (): unknown => told.push('first');
    watch.onWithdrawn(first, tell);
    watch.onWithdrawn(first, tell);
    watch.onWithdrawn(second, () => told.push('second'));
    const stopped = watch.onWithdrawn(first, () => told.push('stopped'));
    stopped.stop();
    stopped.stop();
    withdraw(first, configurationOf(second));
    withdraw(first, configurationOf(second));
    expect(told).toEqual(['first', 'first']);
    expect([watch.isValid(first), watch.isValid(second)]).toEqual([false, true]);
    expect(watch.size).toBe(1);
  });

  it('tells at once of a key that was withdrawn between its check and the subscription', () => {
    const { watch, withdraw } = setUp();
    withdraw(first, configurationOf(second));
    let isTold = false;
    watch.onWithdrawn(first, () => (isTold = true));
    expect(isTold).toBe(true);
    expect(watch.size).toBe(0);
  });

  it('tells the others although one fails', () => {
    const { watch, withdraw } = setUp();
    let isTold = false;
    watch.onWithdrawn(first, () => {
      throw new Error('broken');
    });
    watch.onWithdrawn(first, () => (isTold = true));
    expect(() => {
      withdraw(first, configurationOf(second));
    }).toThrow('1 listeners failed');
    expect([isTold, watch.size]).toEqual([true, 0]);
  });

  it('holds no more listeners than its bound, and takes new ones after some have stopped', () => {
    const { watch } = setUp(2);
    const one = watch.onWithdrawn(first, () => undefined);
    watch.onWithdrawn(second, () => undefined);
    expect(() => watch.onWithdrawn(first, () => undefined)).toThrow('too many connections');
    one.stop();
    watch.onWithdrawn(first, () => undefined);
    expect(watch.size).toBe(2);
  });
});
