import type { Brand, UpstreamId } from '@zincring/core';

/** Digest of a request's service and body, the same for a resend through any instance. */
export type BodyDigest = Brand<string, 'BodyDigest'>;

/** Identifier of one death, unique across the fleet: an upstream may die, restart and die again. */
export type DeathId = Brand<string, 'DeathId'>;

/** An upstream that died while it ran a body; instances tell each other these. */
export interface UpstreamDeath {
  readonly death: DeathId;
  readonly body: BodyDigest;
  readonly upstream: UpstreamId;
  /** Time since the death, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Limits of a {@link Quarantine}. */
export interface QuarantineOptions {
  /** Upstreams that may die before a body is refused. */
  readonly maxDeaths: number;
  /** Time for which a body is refused, and a death counts, in milliseconds. */
  readonly durationMilliseconds: number;
  /** Bodies remembered, at most. */
  readonly maxBodies: number;
}

/** Options that stop a body after two upstreams, for ten minutes. */
export const defaultQuarantineOptions: QuarantineOptions = {
  durationMilliseconds: 600_000,
  maxBodies: 10_000,
  maxDeaths: 2,
};

interface KnownDeath {
  readonly upstream: UpstreamId;
  /** By this instance's clock. */
  readonly diedAt: number;
}

interface SuspectBody {
  readonly deaths: Map<DeathId, KnownDeath>;
}

/**
 * Bodies whose upstreams died while running them. A body that brought down upstreams too
 * often, counted over all instances, is refused for a time.
 *
 * @example
 * quarantine.noteDeath({ ageMilliseconds: 0, body, death, upstream }, timers.now());
 * quarantine.refusedUntil(body, timers.now());
 */
export class Quarantine {
  /** In order of the last death: a map keeps the order of insertion. */
  private readonly bodies = new Map<BodyDigest, SuspectBody>();

  public constructor(private readonly options: QuarantineOptions = defaultQuarantineOptions) {}

  /** Number of bodies remembered. */
  public get size(): number {
    return this.bodies.size;
  }

  /** Takes in a death seen here or told by another instance; hearing of it twice changes nothing. */
  public noteDeath({ ageMilliseconds, body, death, upstream }: UpstreamDeath, now: number): void {
    const diedAt = now - Math.max(0, ageMilliseconds);
    if (now - diedAt >= this.options.durationMilliseconds) {
      return;
    }
    const suspect = this.bodies.get(body) ?? { deaths: new Map<DeathId, KnownDeath>() };
    if (suspect.deaths.has(death) || suspect.deaths.size >= this.options.maxDeaths) {
      return;
    }
    suspect.deaths.set(death, { diedAt, upstream });
    this.bodies.delete(body);
    this.bodies.set(body, suspect);
    this.forget(now);
  }

  /** Deaths of upstreams while running a body. */
  public deathsOf(body: BodyDigest, now: number): number {
    const suspect = this.bodies.get(body);
    return suspect === undefined || this.hasExpired(suspect, now) ? 0 : suspect.deaths.size;
  }

  /** Time until which a body is refused; `undefined` when it may run. */
  public refusedUntil(body: BodyDigest, now: number): number | undefined {
    if (this.deathsOf(body, now) < this.options.maxDeaths) {
      return undefined;
    }
    return this.lastDeathOf(this.bodies.get(body)) + this.options.durationMilliseconds;
  }

  /** Deaths to tell other instances, newest first. */
  public recentDeaths(now: number, limit: number): readonly UpstreamDeath[] {
    const recent: UpstreamDeath[] = [];
    for (const [body, suspect] of [...this.bodies].reverse()) {
      for (const [death, { diedAt, upstream }] of suspect.deaths) {
        if (recent.length >= limit) {
          return recent;
        }
        recent.push({ ageMilliseconds: now - diedAt, body, death, upstream });
      }
    }
    return recent;
  }

  private forget(now: number): void {
    for (const [body, suspect] of this.bodies) {
      if (this.bodies.size <= this.options.maxBodies && !this.hasExpired(suspect, now)) {
        return;
      }
      this.bodies.delete(body);
    }
  }

  private hasExpired(suspect: SuspectBody, now: number): boolean {
    return now - this.lastDeathOf(suspect) >= this.options.durationMilliseconds;
  }

  private lastDeathOf(suspect: SuspectBody | undefined): number {
    const times = [...(suspect?.deaths.values() ?? [])].map(({ diedAt }) => diedAt);
    return Math.max(-Infinity, ...times);
  }
}
