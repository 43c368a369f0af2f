import type { Brand, UpstreamId } from '@zincring/core';

/**
 * Digest of a request's service and body; a request sent again through any instance has the same
 * one.
 */
export type BodyDigest = Brand<string, 'BodyDigest'>;

/**
 * Identifier of one crash, unique across the fleet: an upstream may crash, restart and crash again.
 */
export type CrashId = Brand<string, 'CrashId'>;

/** Crash of an upstream while it processed a request; instances exchange these. */
export interface UpstreamCrash {
  /** Identifier of the crash; the property keeps the name under which instances exchange it. */
  readonly death: CrashId;
  readonly body: BodyDigest;
  readonly upstream: UpstreamId;
  /** Time since the crash, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Time for which the upstream had processed the request, in milliseconds; 0 if absent. */
  readonly ranMilliseconds?: number | undefined;
}

/** Limits of a {@link Quarantine}. */
export interface QuarantineOptions {
  /** Number of crashes at which a body is refused. */
  readonly maximumCrashes: number;
  /** Time for which a body is refused and a crash counts, in milliseconds. */
  readonly durationMilliseconds: number;
  /** Maximum number of bodies kept. */
  readonly maximumBodies: number;
}

/** Default options: refuse a body for ten minutes after two crashes of upstreams. */
export const defaultQuarantineOptions: QuarantineOptions = {
  durationMilliseconds: 600_000,
  maximumBodies: 10_000,
  maximumCrashes: 2,
};

interface RecordedCrash {
  readonly upstream: UpstreamId;
  /** Time at which the upstream received the request, by this instance's clock, in milliseconds. */
  readonly sentAt: number;
  /** Time of the crash by this instance's clock, in milliseconds. */
  readonly crashedAt: number;
}

interface SuspectBody {
  readonly crashes: Map<CrashId, RecordedCrash>;
}

/**
 * Counts crashes of upstreams by request body. A body with too many crashes, counted over all
 * instances, is treated as a poison request and refused for a limited time.
 *
 * @example
 * quarantine.recordCrash({ ageMilliseconds: 0, body, death, upstream }, timers.now());
 * quarantine.refusedUntil(body, timers.now());
 */
export class Quarantine {
  /** Ordered by the crash recorded last: a map keeps the order of insertion. */
  private readonly bodies = new Map<BodyDigest, SuspectBody>();

  public constructor(private readonly options: QuarantineOptions = defaultQuarantineOptions) {}

  /** Number of bodies kept. */
  public get size(): number {
    return this.bodies.size;
  }

  /**
   * Records a crash that this or another instance observed; recording it again has no effect. Crashes of
   * upstreams that processed a body at the same time count once: what takes several upstreams down together
   * also hits requests that have nothing to do with it, while a poison request is sent again after each crash.
   */
  public recordCrash(
    { ageMilliseconds, body, death: crashId, ranMilliseconds = 0, upstream }: UpstreamCrash,
    now: number,
  ): void {
    // The clock of the instance that saw a crash may be ahead; the time between its crashes is what tells them apart.
    if (Math.abs(ageMilliseconds) >= this.options.durationMilliseconds) {
      return;
    }
    const crashedAt = now - ageMilliseconds;
    const suspect = this.bodies.get(body) ?? { crashes: new Map<CrashId, RecordedCrash>() };
    const crash = { crashedAt, sentAt: crashedAt - ranMilliseconds, upstream };
    if (
      suspect.crashes.has(crashId) ||
      suspect.crashes.size >= this.options.maximumCrashes ||
      [...suspect.crashes.values()].some(known => areConcurrent(known, crash))
    ) {
      return;
    }
    suspect.crashes.set(crashId, crash);
    this.bodies.delete(body);
    this.bodies.set(body, suspect);
    this.trimBodies(now);
  }

  /** Discards a crash of which it is known that no body caused it. */
  public forgetCrash(crashId: CrashId): void {
    for (const [body, { crashes }] of this.bodies) {
      if (crashes.delete(crashId) && crashes.size === 0) {
        this.bodies.delete(body);
      }
    }
  }

  /** Returns the crashes of upstreams that processed a body and crashed before a time. */
  public findCrashesBefore(body: BodyDigest, time: number): readonly CrashId[] {
    return [...(this.bodies.get(body)?.crashes ?? [])]
      .filter(([, { crashedAt }]) => crashedAt < time)
      .map(([crashId]) => crashId);
  }

  /**
   * Returns the number of recorded crashes of upstreams that processed a body; 0 once they have
   * expired.
   */
  public countCrashes(body: BodyDigest, now: number): number {
    const suspect = this.bodies.get(body);
    return suspect === undefined || this.hasExpired(suspect, now) ? 0 : suspect.crashes.size;
  }

  /** Returns the time until which a body is refused; `undefined` if it may run. */
  public refusedUntil(body: BodyDigest, now: number): number | undefined {
    if (this.countCrashes(body, now) < this.options.maximumCrashes) {
      return undefined;
    }
    return this.lastCrashAt(this.bodies.get(body)) + this.options.durationMilliseconds;
  }

  /** Returns crashes to send to other instances, ordered by body, the most recent first. */
  public listRecentCrashes(now: number, limit: number): readonly UpstreamCrash[] {
    const recent: UpstreamCrash[] = [];
    for (const [body, suspect] of [...this.bodies].reverse()) {
      for (const [crashId, { crashedAt, sentAt, upstream }] of suspect.crashes) {
        if (recent.length >= limit) {
          return recent;
        }
        const ageMilliseconds = now - crashedAt;
        const ranMilliseconds = crashedAt - sentAt;
        recent.push({ ageMilliseconds, body, death: crashId, ranMilliseconds, upstream });
      }
    }
    return recent;
  }

  private trimBodies(now: number): void {
    for (const [body, suspect] of this.bodies) {
      if (this.bodies.size <= this.options.maximumBodies && !this.hasExpired(suspect, now)) {
        return;
      }
      this.bodies.delete(body);
    }
  }

  private hasExpired(suspect: SuspectBody, now: number): boolean {
    return now - this.lastCrashAt(suspect) >= this.options.durationMilliseconds;
  }

  private lastCrashAt(suspect: SuspectBody | undefined): number {
    const times = [...(suspect?.crashes.values() ?? [])].map(({ crashedAt }) => crashedAt);
    return Math.max(-Infinity, ...times);
  }
}

function areConcurrent(left: RecordedCrash, right: RecordedCrash): boolean {
  return left.sentAt < right.crashedAt && right.sentAt < left.crashedAt;
}
