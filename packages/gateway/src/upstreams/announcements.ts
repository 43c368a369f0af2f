import type { Logger } from '@zincring/core';

import type { ResponseFacts } from '../callers/requestFacts.js';
import type { ColdReplicas } from './permits/coldReplicas.js';
import type { ReplicaPermits } from './permits/replicaPermits.js';
import type { ReplicaEntry } from './replica.js';
import type { ReplicaLoads } from './replicaLoads.js';

/** Dependencies of {@link Announcements}. */
export interface AnnouncementsDependencies {
  readonly coldReplicas: ColdReplicas;
  readonly loads: ReplicaLoads;
  readonly permits: ReplicaPermits;
  readonly logger: Logger;
}

/** Status of a server that is not the intended replica. */
const STATUS_MISDIRECTED = 421;

/**
 * Records what replicas announce about themselves in their responses.
 *
 * @example
 * announcements.record(entry, response.status, facts);
 */
export class Announcements {
  public constructor(private readonly dependencies: AnnouncementsDependencies) {}

  /** Records the announcements of one response; those of another replica at the same address are ignored. */
  public record(
    entry: ReplicaEntry,
    status: number,
    { coldMilliseconds, isLeaving, requestsPerSecond }: ResponseFacts,
  ): void {
    if (status === STATUS_MISDIRECTED) {
      return;
    }
    const { coldReplicas, loads, logger, permits } = this.dependencies;
    if (coldMilliseconds !== undefined) {
      coldReplicas.record(entry, coldMilliseconds);
    }
    permits.record(entry, requestsPerSecond);
    if (isLeaving && !loads.isLeaving(entry)) {
      loads.recordLeaving(entry);
      logger.info(
        { event: 'replica-leaving', replica: entry.id },
        'a replica announced that it is about to leave; it gets no further requests',
      );
    }
  }
}
