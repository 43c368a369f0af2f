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
  readonly withdraw: (keyHash: KeyHash, newConfiguration: Configuration) => void;
} {
  const listeners: ConfigurationListener[] = [];
  const follower = {
    current: configurationOf(first, second),
    subscribe: (listener: ConfigurationListener) => {
      listeners.push(listener);
      return { stop: () => undefined };
    },
  };
  const withdraw = (keyHash: KeyHash, newConfiguration: Configuration): void => {
    follower.current = newConfiguration;
    const difference = { previousVersion: undefined, withdrawnKeys: [keyHash] };
    listeners.forEach(listener => {
      listener(newConfiguration, difference);
    });
  };
  return { watch: new KeyWatch({ follower, maximumListeners }), withdraw };
}

describe('KeyWatch', () => {
  it('calls only the listeners of the withdrawn key, each once', () => {
    const { watch, withdraw } = setUp();
    const notified: string[] = [];
    const notify = (): unknown => notified.push('first');
    watch.onWithdrawn(first, notify);
    watch.onWithdrawn(first, notify);
    watch.onWithdrawn(second, () => notified.push('second'));
    const stopped = watch.onWithdrawn(first, () => notified.push('stopped'));
    stopped.stop();
    stopped.stop();
    withdraw(first, configurationOf(second));
    withdraw(first, configurationOf(second));
    expect(notified).toEqual(['first', 'first']);
    expect([watch.isValid(first), watch.isValid(second)]).toEqual([false, true]);
    expect(watch.size).toBe(1);
  });

  it('calls a listener immediately when its key was withdrawn between its check and the subscription', () => {
    const { watch, withdraw } = setUp();
    withdraw(first, configurationOf(second));
    let isNotified = false;
    watch.onWithdrawn(first, () => (isNotified = true));
    expect(isNotified).toBe(true);
    expect(watch.size).toBe(0);
  });

  it('calls the other listeners when one throws', () => {
    const { watch, withdraw } = setUp();
    let isNotified = false;
    watch.onWithdrawn(first, () => {
      throw new Error('broken');
    });
    watch.onWithdrawn(first, () => (isNotified = true));
    expect(() => {
      withdraw(first, configurationOf(second));
    }).toThrow('1 listeners failed');
    expect([isNotified, watch.size]).toEqual([true, 0]);
  });

  it('rejects listeners above the maximum, and accepts new ones after some have stopped', () => {
    const { watch } = setUp(2);
    const firstSubscription = watch.onWithdrawn(first, () => undefined);
    watch.onWithdrawn(second, () => undefined);
    expect(() => watch.onWithdrawn(first, () => undefined)).toThrow('too many connections');
    firstSubscription.stop();
    watch.onWithdrawn(first, () => undefined);
    expect(watch.size).toBe(2);
  });
});
