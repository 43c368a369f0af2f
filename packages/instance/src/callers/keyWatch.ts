import type { KeyHash } from '@zincring/core';

/** Keeps watching until it is stopped. Stopping twice is harmless. */
export interface KeySubscription {
  stop(): void;
}

/** Tells when a key stops being valid. */
export interface KeyWatch {
  /** Calls `onWithdrawn` once when the key is withdrawn; at once when it is not valid already. */
  watch(keyHash: KeyHash, onWithdrawn: () => void): KeySubscription;
}

/** Watches nothing. */
export const watchNoKeys: KeyWatch = {
  watch: () => ({ stop: () => undefined }),
};
