import type { KeyHash, TimerSubscription } from '@zincring/core';

import { ZincringError } from '@zincring/core';

import type { ConfigurationFollower } from './configurationFollower.js';

/** Called once when the key has been withdrawn. */
export type WithdrawalListener = () => void;

/** Options of {@link KeyWatch}. */
export interface KeyWatchOptions {
  readonly follower: Pick<ConfigurationFollower, 'current' | 'subscribe'>;
  /** Maximum number of listeners at a time. */
  readonly maximumListeners: number;
}

/**
 * Notifies waiting and streaming calls when the key that authenticated them is withdrawn.
 *
 * @example
 * const watch = keyWatch.onWithdrawn(caller.keyHash, () => controller.abort());
 * try { … } finally { watch.stop(); }
 */
export class KeyWatch {
  private readonly listeners = new Map<KeyHash, Set<WithdrawalListener>>();
  private count = 0;

  public constructor(private readonly options: KeyWatchOptions) {
    options.follower.subscribe((_, { withdrawnKeys }) => {
      this.notifyListeners(withdrawnKeys);
    });
  }

  /** Number of listeners. */
  public get size(): number {
    return this.count;
  }

  /** Whether a key is valid in the configuration in force. */
  public isValid(keyHash: KeyHash): boolean {
    return this.options.follower.current?.keys.has(keyHash) === true;
  }

  /**
   * Calls a listener once when the key is withdrawn, or immediately when it is no longer valid.
   * Stop the subscription when the call ends. Throws the kind `too-many-connections` when the
   * maximum number of listeners is reached.
   */
  public onWithdrawn(keyHash: KeyHash, listener: WithdrawalListener): TimerSubscription {
    if (!this.isValid(keyHash)) {
      listener();
      return { stop: () => undefined };
    }
    if (this.count >= this.options.maximumListeners) {
      throw new ZincringError('too-many-connections');
    }
    // A separate function for each subscription, so that a listener may be subscribed twice.
    const uniqueListener = (): void => {
      listener();
    };
    const listeners = this.listeners.get(keyHash) ?? new Set();
    this.listeners.set(keyHash, listeners.add(uniqueListener));
    this.count++;
    return {
      stop: () => {
        this.remove(keyHash, uniqueListener);
      },
    };
  }

  /** Calls every listener of the keys, even when some of them throw. */
  private notifyListeners(keyHashes: readonly KeyHash[]): void {
    const failures: unknown[] = [];
    for (const keyHash of keyHashes) {
      for (const listener of [...(this.listeners.get(keyHash) ?? [])]) {
        this.remove(keyHash, listener);
        try {
          listener();
        } catch (failure) {
          failures.push(failure);
        }
      }
    }
    if (failures.length > 0) {
      throw new AggregateError(failures, `${failures.length} listeners failed`);
    }
  }

  private remove(keyHash: KeyHash, listener: WithdrawalListener): void {
    const listeners = this.listeners.get(keyHash);
    if (listeners?.delete(listener) !== true) {
      return;
    }
    this.count--;
    if (listeners.size === 0) {
      this.listeners.delete(keyHash);
    }
  }
}
