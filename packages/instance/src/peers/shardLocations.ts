import type { InstanceId, ShardId } from '@zincring/core';

import type { GossipParticipant } from './gossipParticipant.js';

/** Which instance holds which shard, as the instances tell. */
export class ShardLocations implements GossipParticipant {
  public readonly key = 'shards';
  private readonly holders = new Map<ShardId, InstanceId>();
  private readonly shardsOf = new Map<InstanceId, readonly ShardId[]>();

  public constructor(private readonly heldShards: () => readonly ShardId[]) {}

  public tell(): string {
    return JSON.stringify(this.heldShards());
  }

  public hear(instance: InstanceId, value: string): void {
    this.update(instance, JSON.parse(value) as ShardId[]);
  }

  /** Takes over the shards that an instance says it holds. */
  public update(instance: InstanceId, shards: readonly ShardId[]): void {
    this.forget(instance);
    this.shardsOf.set(instance, shards);
    for (const shard of shards) {
      this.holders.set(shard, instance);
    }
  }

  /** Forgets an instance. */
  public forget(instance: InstanceId): void {
    for (const shard of this.shardsOf.get(instance) ?? []) {
      if (this.holders.get(shard) === instance) {
        this.holders.delete(shard);
      }
    }
    this.shardsOf.delete(instance);
  }

  /** The instance last heard to hold a shard. */
  public holderOf(shard: ShardId): InstanceId | undefined {
    return this.holders.get(shard);
  }
}
