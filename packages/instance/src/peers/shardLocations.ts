import type { InstanceId, ShardId } from '@zincring/core';

import type { GossipParticipant } from './gossipParticipant.js';

/** Holders of the shards, as reported by the instances. */
export class ShardLocations implements GossipParticipant {
  public readonly key = 'shards';
  private readonly holders = new Map<ShardId, InstanceId>();
  private readonly shardsOf = new Map<InstanceId, readonly ShardId[]>();

  public constructor(private readonly heldShards: () => readonly ShardId[]) {}

  public createUpdate(): string {
    return JSON.stringify(this.heldShards());
  }

  public applyUpdate(instance: InstanceId, value: string): void {
    this.setShards(instance, JSON.parse(value) as ShardId[]);
  }

  /** Replaces the shards that an instance reports as held. */
  public setShards(instance: InstanceId, shards: readonly ShardId[]): void {
    this.removeInstance(instance);
    this.shardsOf.set(instance, shards);
    for (const shard of shards) {
      this.holders.set(shard, instance);
    }
  }

  /** Removes an instance with its shards. */
  public removeInstance(instance: InstanceId): void {
    for (const shard of this.shardsOf.get(instance) ?? []) {
      if (this.holders.get(shard) === instance) {
        this.holders.delete(shard);
      }
    }
    this.shardsOf.delete(instance);
  }

  /** Returns the instance that last reported a shard as held. */
  public holderOf(shard: ShardId): InstanceId | undefined {
    return this.holders.get(shard);
  }
}
