import type { AvailabilityZone, ServiceName, UpstreamId } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

/** One replica of a service. */
export interface Replica {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** IP number and port. */
  readonly address: string;
  readonly zone: AvailabilityZone;
}

/** The replicas that may be given new work, as the platform's list tells. */
export class ReplicaTable {
  private replicasByService = new Map<ServiceName, readonly Replica[]>();

  /** Takes over the platform's list; leaving replicas get nothing new. */
  public update(entries: readonly DirectoryEntry[]): void {
    const replicas = new Map<ServiceName, Replica[]>();
    for (const { address, id, role, state, zone } of entries) {
      if (role.kind !== 'upstream' || state !== 'live') {
        continue;
      }
      const replica: Replica = { address, id: id as UpstreamId, service: role.service, zone };
      replicas.set(role.service, [...(replicas.get(role.service) ?? []), replica]);
    }
    this.replicasByService = replicas;
  }

  /** Replicas of a service that take new work. */
  public of(service: ServiceName): readonly Replica[] {
    return this.replicasByService.get(service) ?? [];
  }
}
