import type { AvailabilityZone, Brand, ServiceName, UpstreamId } from '@zincring/core';

/** One run of a replica: its id together with the time of its start. */
export type ReplicaRunId = Brand<string, 'ReplicaRunId'>;

/** What a replica says of itself. */
export interface ReplicaEntry {
  readonly id: UpstreamId;
  readonly runId: ReplicaRunId;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it stays slow after its start, in milliseconds. */
  readonly coldMilliseconds: number;
}
