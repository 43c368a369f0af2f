import type { Logger, TimerService } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import type { HeaderCodec } from '../callers/requestFacts.js';
import type { ConfigurationSource } from '../configuration/configurationFollower.js';
import type { ReplicaSource } from '../upstreams/replicaDirectory.js';

/** Dependencies of a gateway instance. */
export interface GatewayDependencies {
  readonly table: PartitionedTable;
  readonly headerCodec: HeaderCodec;
  readonly configurationSource: ConfigurationSource;
  readonly replicaSource: ReplicaSource;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a random number between 0 and 1. */
  readonly random: () => number;
  /** Generates an identifier that no other instance generates. */
  readonly makeId: () => string;
}

/** Ports that an instance listens on. */
export interface GatewayPorts {
  readonly callers: number;
  readonly metrics: number;
  readonly peers: number;
  readonly readiness: number;
}
