import type { ShardId } from '@zincring/core';

import { hash32 } from '@zincring/core';

/**
 * Returns the shard of a program or workspace.
 *
 * @param shardCount a power of two, identical on every instance and never changed
 * @example
 * const shard = shardOf(programId, 256);
 */
export function shardOf(name: string, shardCount: number): ShardId {
  return (hash32(name) & (shardCount - 1)) as ShardId;
}

/**
 * Selects the member that should hold a shard by rendezvous hashing. Adding or removing a member
 * moves only the shards of that member.
 *
 * @returns the preferred member, or `undefined` when there is none
 * @example
 * preferredHolder(shard, ['entry-1', 'entry-2']);
 */
export function preferredHolder<Member extends string>(
  shard: ShardId,
  members: Iterable<Member>,
): Member | undefined {
  let best: Member | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = hash32(`${member}/${shard}`);
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && member < best)) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}
