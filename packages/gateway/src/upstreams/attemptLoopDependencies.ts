import type { BytePacer, Logger, TimerService } from '@zincring/core';

import type { HeldMemory } from '../callers/memory/heldMemory.js';
import type { HeaderCodec } from '../callers/requestFacts.js';
import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { Announcements } from './announcements.js';
import type { CrashDetector } from './crashDetector.js';
import type { EngineLoads } from './load/engineLoads.js';
import type { ReplicaPermits } from './permits/replicaPermits.js';
import type { ReplicaPool } from './replicaPool.js';
import type { ReplicaTransport } from './replicaTransport.js';
import type { StreamOrigins } from './streamOrigins.js';

/** Dependencies of an attempt loop. */
export interface AttemptLoopDependencies {
  readonly timers: TimerService;
  readonly memory: HeldMemory;
  readonly pacer: BytePacer;
  /** Responses that their callers have yet to read. */
  readonly responseMemory: HeldMemory;
  readonly logger: Logger;
  readonly pool: ReplicaPool;
  readonly permits: ReplicaPermits;
  readonly announcements: Announcements;
  readonly transport: ReplicaTransport;
  readonly headerCodec: HeaderCodec;
  readonly crashes: CrashDetector;
  readonly streamOrigins: StreamOrigins;
  readonly metrics: GatewayMetrics;
  readonly engineLoads: EngineLoads;
}
