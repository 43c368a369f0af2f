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

/** Where the rate of a workspace stands at an instance. */
export interface LimitReport {
  readonly workspace: WorkspaceName;
  /** Requests that may be admitted at once. */
  readonly tokens: number;
  /** Requests admitted since the start. */
  readonly granted: number;
  /** Requests refused since the start. */
  readonly refused: number;
}

/** How an instance sees an upstream replica. */
export interface UpstreamReport {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly zone: AvailabilityZone;
  /** A word such as `live` or `leaving`. */
  readonly state: string;
  /** Calls under way from this instance. */
  readonly inFlight: number;
  /** Most calls under way from this instance; 0 for no bound. */
  readonly window: number;
}

/** Where the configuration stands at an instance. */
export interface ConfigurationReport {
  /** Version in force; 0 before the first. */
  readonly version: number;
  /** Newest version heard of. */
  readonly newestVersion: number;
  readonly blocked: BlockedVersion | undefined;
  readonly storeAgeMilliseconds: number | undefined;
}

/** What an instance holds and sees. */
export interface InstanceReport {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly zone: AvailabilityZone;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly configuration: ConfigurationReport;
  readonly shards: readonly ShardId[];
  /** Programs whose home is the instance. */
  readonly programs: number;
  readonly limits: readonly LimitReport[];
  readonly upstreams: readonly UpstreamReport[];
  /** Other instances heard of lately. */
  readonly peersAlive: number;
}

/** The state of a program at its home. */
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

/** What the other slices tell operators; the wiring of the instance fills it. */
export interface OperatorStatusSource {
  /** What the instance holds and sees. */
  describeInstance(): InstanceReport;
  /** The state of a program whose home this instance is; `undefined` for any other. */
  describeProgram(program: ProgramId): ProgramReport | undefined;
  /** What brings a reader of a configuration version up to what the instance has. */
  configurationAfter(version: number): Update;
}
