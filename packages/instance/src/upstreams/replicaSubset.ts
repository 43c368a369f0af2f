import type { InstanceId } from '@zincring/core';

import { hash32 } from '@zincring/core';

import type { Replica } from './replicaTable.js';

/**
 * The replicas that one instance works with: all of them in a small deployment, and a fixed share
 * chosen by rendezvous hashing in a large one, so that reports need not be read from every replica
 * by every instance. A change of one replica changes at most one place.
 *
 * @param limit most replicas in the subset
 * @example
 * const replicas = replicaSubset(table.of(service), self, 64);
 */
export function replicaSubset(
  replicas: readonly Replica[],
  self: InstanceId,
  limit: number,
): readonly Replica[] {
  if (replicas.length <= limit) {
    return replicas;
  }
  return replicas
    .map(replica => ({ replica, weight: hash32(`${self}/${replica.id}`) }))
    .sort((left, right) => right.weight - left.weight)
    .slice(0, limit)
    .map(({ replica }) => replica);
}
