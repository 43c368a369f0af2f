import type { InstanceId, TimerService, UpstreamId } from '@zincring/core';
import type { BodyDigest, CrashId, UpstreamCrash } from '@zincring/scheduling';

import { randomUUID } from 'node:crypto';

import { sleep, ZincringError } from '@zincring/core';
import { Quarantine } from '@zincring/scheduling';

import type { GossipParticipant } from '../peers/gossipParticipant.js';

/** Dependencies of a {@link PoisonGuard}. */
export interface PoisonGuardOptions {
  readonly timers: TimerService;
  /** Sends this instance's gossip to the others immediately; settles once they have responded. */
  readonly publishGossip: () => Promise<void>;
}

/** Maximum number of crashes reported in one heartbeat. */
const MAXIMUM_CRASHES_PER_HEARTBEAT = 32;
/** Maximum wait for the other instances to receive the report of a crash, in milliseconds. */
const GOSSIP_TIMEOUT_MILLISECONDS = 300;

/**
 * Refuses poison requests: requests that crashed upstreams, counted over all instances. A crash is
 * reported to the other instances before the request fails or is retried, so that resends through
 * any instance are counted.
 */
export class PoisonGuard implements GossipParticipant {
  public readonly key = 'upstream-deaths';
  private readonly quarantine = new Quarantine();

  public constructor(private readonly options: PoisonGuardOptions) {}

  /** Returns the error for a request that is quarantined; `undefined` if it may run. */
  public findRefusal(bodyDigest: BodyDigest): ZincringError | undefined {
    const now = this.options.timers.now();
    const refusedUntil = this.quarantine.refusedUntil(bodyDigest, now);
    return refusedUntil === undefined
      ? undefined
      : new ZincringError('poison-request', {
          retryAfterSeconds: Math.ceil((refusedUntil - now) / 1_000),
        });
  }

  /** Records the crash of an upstream that ran a request, and reports it to the other instances. */
  public async recordCrash(
    bodyDigest: BodyDigest,
    upstream: UpstreamId,
    ranMilliseconds: number,
  ): Promise<void> {
    const crash: UpstreamCrash = {
      ageMilliseconds: 0,
      body: bodyDigest,
      death: randomUUID() as string as CrashId,
      ranMilliseconds,
      upstream,
    };
    this.quarantine.recordCrash(crash, this.options.timers.now());
    const published = this.options.publishGossip().catch(() => undefined);
    const timeoutController = new AbortController();
    await Promise.race([
      published,
      sleep(this.options.timers, GOSSIP_TIMEOUT_MILLISECONDS, timeoutController.signal),
    ]);
    timeoutController.abort();
  }

  public createUpdate(): string | undefined {
    const now = this.options.timers.now();
    const crashes = this.quarantine.listRecentCrashes(now, MAXIMUM_CRASHES_PER_HEARTBEAT);
    return crashes.length === 0 ? undefined : JSON.stringify(crashes);
  }

  public applyUpdate(_instance: InstanceId, value: string): void {
    const now = this.options.timers.now();
    for (const crash of JSON.parse(value) as readonly UpstreamCrash[]) {
      this.quarantine.recordCrash(crash, now);
    }
  }
}
