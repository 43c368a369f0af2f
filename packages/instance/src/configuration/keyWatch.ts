import type { KeyHash, TimerSubscription } from '@zincring/core';

import { ZincringError } from '@zincring/core';

import type { ConfigurationFollower } from './configurationFollower.js';

/** Called once, when the key was withdrawn. */
export type WithdrawalListener = () => void;

/** What watching keys needs. */
export interface KeyWatchOptions {
  readonly follower: Pick<ConfigurationFollower, 'current' | 'subscribe'>;
  /** Most listeners at a time. */
  readonly maximumListeners: number;
}

/**
 * Tells calls that wait or stream when the key under which they came is withdrawn.
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
      this.tellAll(withdrawnKeys);
    });
  }

  /** Number of listeners. */
  public get size(): number {
    return this.count;
  }

  /** Whether a key holds in the configuration in force. */
  public isValid(keyHash: KeyHash): boolean {
    return this.options.follower.current?.keys.has(keyHash) === true;
  }

  /**
   * Calls a listener once when the key is withdrawn; at once when it is not valid any more.
   * Stop the subscription when the call ends. Throws the kind `too-many-connections` when too
   * many listen.
   */
  public onWithdrawn(keyHash: KeyHash, listener: WithdrawalListener): TimerSubscription {
    if (!this.isValid(keyHash)) {
      listener();
      return { stop: () => undefined };
    }
    if (this.count >= this.options.maximumListeners) {
      throw new ZincringError('too-many-connections');
    }
    // A wrapper, so that one listener may be given twice.
    const entry = (): void => {
      listener();
    };
    const listeners = this.listeners.get(keyHash) ?? new Set();
    this.listeners.set(keyHash, listeners.add(entry));
    this.count++;
    return {
      stop: () => {
        this.remove(keyHash, entry);
      },
    };
  }

  /** Tells every listener, although some may fail. */
  private tellAll(keyHashes: readonly KeyHash[]): void {
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
