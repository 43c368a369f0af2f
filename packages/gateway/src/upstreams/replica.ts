import type { AvailabilityZone, Brand, ServiceName, UpstreamId } from '@zincring/core';

/** Identifies one run of a replica: its id and the time of its start. */
export type ReplicaRunId = Brand<string, 'ReplicaRunId'>;

/** Version of the software that a replica runs; versions have no order. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;

/** Registration of a replica. */
export interface ReplicaEntry {
  readonly id: UpstreamId;
  readonly runId: ReplicaRunId;
  readonly service: ServiceName;
  readonly softwareVersion: SoftwareVersion;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  /** Number of requests that the replica runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time until the replica has warmed up after its start, in milliseconds; it is slower until then. */
  readonly coldMilliseconds: number;
  /** End of this time on the monotonic clock of this instance, in milliseconds; `undefined` if the entry said that the replica is warm. */
  readonly coldUntil?: number | undefined;
}
