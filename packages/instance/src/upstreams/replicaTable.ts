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

/** The replicas that the platform's list tells of. */
export class ReplicaTable {
  private replicasByService = new Map<ServiceName, readonly Replica[]>();
  private replicasById = new Map<UpstreamId, Replica>();

  /** Takes over the platform's list; leaving replicas get nothing new. */
  public update(entries: readonly DirectoryEntry[]): void {
    const replicas = new Map<ServiceName, Replica[]>();
    const byId = new Map<UpstreamId, Replica>();
    for (const { address, id, role, state, zone } of entries) {
      if (role.kind !== 'upstream') {
        continue;
      }
      const replica: Replica = { address, id: id as UpstreamId, service: role.service, zone };
      byId.set(replica.id, replica);
      if (state !== 'live') {
        continue;
      }
      replicas.set(role.service, [...(replicas.get(role.service) ?? []), replica]);
    }
    this.replicasByService = replicas;
    this.replicasById = byId;
  }

  /** Finds a replica, also one that is leaving. */
  public find(id: UpstreamId): Replica | undefined {
    return this.replicasById.get(id);
  }

  /** Every replica, also those that are leaving. */
  public all(): Iterable<Replica> {
    return this.replicasById.values();
  }

  /** Replicas of a service that take new work. */
  public of(service: ServiceName): readonly Replica[] {
    return this.replicasByService.get(service) ?? [];
  }
}
