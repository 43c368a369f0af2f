import type {
  AvailabilityZone,
  HistoryDigest,
  IncarnationId,
  InstanceId,
  ProgramId,
  ShardId,
  UpstreamId,
  ServiceName,
  WorkspaceName,
} from '@zincring/core';
import type { Update } from '@zincring/coordination';

import type { BlockedVersion } from '../configuration/rulesInForce.js';

/** State of a workspace's rate limit at an instance. */
export interface LimitReport {
  readonly workspace: WorkspaceName;
  /** Number of requests that may be admitted immediately. */
  readonly tokens: number;
  /** Number of requests admitted since the instance started. */
  readonly granted: number;
  /** Number of requests refused since the instance started. */
  readonly refused: number;
}

/** State of an upstream replica as seen by an instance. */
export interface UpstreamReport {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly zone: AvailabilityZone;
  /** State in the directory, such as `live` or `leaving`. */
  readonly state: string;
  /** Number of calls in flight from this instance. */
  readonly inFlight: number;
  /** Maximum number of calls in flight from this instance; 0 if there is no window yet. */
  readonly window: number;
}

/** State of the configuration at an instance. */
export interface ConfigurationReport {
  /** Version in force; 0 before the first version. */
  readonly version: number;
  /** Newest version known to the instance. */
  readonly newestVersion: number;
  readonly blocked: BlockedVersion | undefined;
  /** Age of the state last read from the store, in milliseconds; `undefined` before the first. */
  readonly storeAgeMilliseconds: number | undefined;
}

/** State of an instance and its view of the others. */
export interface InstanceReport {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly zone: AvailabilityZone;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly configuration: ConfigurationReport;
  readonly shards: readonly ShardId[];
  /** Number of programs whose home is the instance. */
  readonly programs: number;
  readonly limits: readonly LimitReport[];
  readonly upstreams: readonly UpstreamReport[];
  /** Number of other instances that are alive according to recent heartbeats. */
  readonly peersAlive: number;
}

/** State of a program at its home. */
export interface ProgramReport {
  readonly workspace: WorkspaceName;
  readonly policy: string;
  readonly shard: ShardId;
  readonly turn: number;
  readonly durableTurn: number;
  readonly digest: HistoryDigest;
  readonly tokensLeft: number;
  readonly callsLeft: number;
  readonly hasEnded: boolean;
}

/** Source of the state that operators can query; implemented by `InstanceStatus`. */
export interface OperatorStatusSource {
  /** Reports the state of the instance and its view of the others. */
  describeInstance(): InstanceReport;
  /** Reports the state of a program; `undefined` if its home is another instance. */
  describeProgram(program: ProgramId): ProgramReport | undefined;
  /** Returns the update from a configuration version to the newest that the instance has. */
  readConfigurationUpdate(version: number): Update;
}
