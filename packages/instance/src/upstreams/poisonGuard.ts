import type { InstanceId, TimerService, UpstreamId } from '@zincring/core';
import type { BodyDigest, CrashId, UpstreamCrash } from '@zincring/scheduling';

import { randomUUID } from 'node:crypto';

import { sleep, ZincringError } from '@zincring/core';
import { Quarantine } from '@zincring/scheduling';

import type { GossipParticipant } from '../peers/gossipParticipant.js';

/** What guarding against poison requests needs. */
export interface PoisonGuardOptions {
  readonly timers: TimerService;
  /** Tells the other instances at once; settles when they have answered. */
  readonly spreadNews: () => Promise<void>;
}

/** Most deaths told in one heartbeat. */
const DEATHS_PER_HEARTBEAT = 32;
/** Longest wait for the other instances to hear of a death, in milliseconds. */
const LONGEST_SPREAD_MILLISECONDS = 300;

/**
 * Refuses requests that have brought down upstreams, counted over all instances. The other
 * instances hear of a death before its request is answered or tried again, so that a resend
 * through any of them is counted.
 */
export class PoisonGuard implements GossipParticipant {
  public readonly key = 'upstream-deaths';
  private readonly quarantine = new Quarantine();

  public constructor(private readonly options: PoisonGuardOptions) {}

  /** The refusal of a request that may not run; `undefined` when it may. */
  public findRefusal(body: BodyDigest): ZincringError | undefined {
    const now = this.options.timers.now();
    const refusedUntil = this.quarantine.refusedUntil(body, now);
    return refusedUntil === undefined
      ? undefined
      : new ZincringError('poison-request', {
          retryAfterSeconds: Math.ceil((refusedUntil - now) / 1_000),
        });
  }

  /** Counts an upstream that died while it ran a request, and tells the other instances. */
  public async noteDeath(body: BodyDigest, upstream: UpstreamId): Promise<void> {
    const death: UpstreamCrash = {
      ageMilliseconds: 0,
      body,
      death: randomUUID() as string as CrashId,
      upstream,
    };
    this.quarantine.recordCrash(death, this.options.timers.now());
    const spread = this.options.spreadNews().catch(() => undefined);
    const limit = new AbortController();
    await Promise.race([
      spread,
      sleep(this.options.timers, LONGEST_SPREAD_MILLISECONDS, limit.signal),
    ]);
    limit.abort();
  }

  public tell(): string | undefined {
    const now = this.options.timers.now();
    const deaths = this.quarantine.listRecentCrashes(now, DEATHS_PER_HEARTBEAT);
    return deaths.length === 0 ? undefined : JSON.stringify(deaths);
  }

  public hear(_instance: InstanceId, value: string): void {
    const now = this.options.timers.now();
    for (const death of JSON.parse(value) as readonly UpstreamCrash[]) {
      this.quarantine.recordCrash(death, now);
    }
  }
}
