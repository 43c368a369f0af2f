import type { InstanceId } from '@zincring/core';

/** A part of the instance that tells the other instances something with every heartbeat. */
export interface GossipParticipant {
  /** Name of the fact, the same on every instance. */
  readonly key: string;
  /** What this instance tells, as text; `undefined` for nothing. */
  tell(): string | undefined;
  /** Takes in what another instance tells. */
  hear(instance: InstanceId, value: string): void;
}
