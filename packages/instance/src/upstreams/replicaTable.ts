import type { AvailabilityZone, ServiceName, UpstreamId } from '@zincring/core';
import type { DirectoryEntry } from '@zincring/platform';

/** Replica of a service. */
export interface Replica {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** IP address and port. */
  readonly address: string;
  readonly zone: AvailabilityZone;
}

/** Table of the replicas listed in the platform's directory. */
export class ReplicaTable {
  private liveReplicasByService = new Map<ServiceName, readonly Replica[]>();
  private replicasById = new Map<UpstreamId, Replica>();

  /** Replaces all entries by those of the directory; replicas that are leaving get no new work. */
  public update(entries: readonly DirectoryEntry[]): void {
    const liveByService = new Map<ServiceName, Replica[]>();
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
      liveByService.set(role.service, [...(liveByService.get(role.service) ?? []), replica]);
    }
    this.liveReplicasByService = liveByService;
    this.replicasById = byId;
  }

  /** Finds a replica, including one that is leaving. */
  public find(id: UpstreamId): Replica | undefined {
    return this.replicasById.get(id);
  }

  /** Lists all replicas, including those that are leaving. */
  public listAll(): Iterable<Replica> {
    return this.replicasById.values();
  }

  /** Lists the replicas of a service that accept new work. */
  public listLive(service: ServiceName): readonly Replica[] {
    return this.liveReplicasByService.get(service) ?? [];
  }
}
