import type { InstanceId } from '@zincring/core';

import { hash32 } from '@zincring/core';

import type { Replica } from './replicaTable.js';

/**
 * Selects the replicas that one instance uses: all of them in a small deployment, and a subset of
 * fixed size in a large one, so that not every instance has to poll every replica. The subset is
 * chosen by rendezvous hashing: adding or removing one replica changes at most one member.
 *
 * @param maximumReplicas maximum size of the subset
 * @example
 * const replicas = selectReplicaSubset(table.listLive(service), self, 64);
 */
export function selectReplicaSubset(
  replicas: readonly Replica[],
  self: InstanceId,
  maximumReplicas: number,
): readonly Replica[] {
  if (replicas.length <= maximumReplicas) {
    return replicas;
  }
  return replicas
    .map(replica => ({ replica, weight: hash32(`${self}/${replica.id}`) }))
    .sort((left, right) => right.weight - left.weight)
    .slice(0, maximumReplicas)
    .map(({ replica }) => replica);
}
