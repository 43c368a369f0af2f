import type { InstanceId } from '@zincring/core';

/** Component of an instance that sends an update to the other instances with every heartbeat. */
export interface GossipParticipant {
  /** Key of the gossip item, the same on every instance. */
  readonly key: string;
  /** Returns the update of this instance as text; `undefined` when there is nothing to send. */
  createUpdate(): string | undefined;
  /** Applies an update from another instance. */
  applyUpdate(instance: InstanceId, value: string): void;
}
