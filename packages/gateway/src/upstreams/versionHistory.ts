import type { ServiceName, TimerService } from '@zincring/core';

import type { ReplicaEntry, SoftwareVersion } from './replica.js';
import type { VersionPeriod } from './versionPeriods.js';

import { MAXIMUM_CONTACT_GAP_MILLISECONDS } from '../configuration/contactAge.js';
import { appendPeriod, findVersionsAt, listPeriodsSince } from './versionPeriods.js';

/** Registered replicas, as far as their versions are concerned. */
export interface VersionSource {
  /** Time since the list was last confirmed by the store, in milliseconds. */
  ageMilliseconds(): number;
  /** Number of times that the list was out of date for some time and then confirmed again. */
  interruptionCount(): number;
  /** Returns all registered replicas. */
  listAll(): readonly ReplicaEntry[];
  /** Calls the listener with each change. */
  subscribe(listener: () => void): void;
}

/** Time for which ended periods are kept, in milliseconds: longer than a caller may go on with a stream. */
export const KEPT_PERIOD_MILLISECONDS = 60_000;

/**
 * Remembers which software versions served each service of late, to tell at which version a
 * stream can have begun: as this instance observed it and, for the time before, as the store
 * records it.
 *
 * @example
 * const history = new VersionHistory(directory, timers);
 * history.findConstantVersion('minutes-llm' as ServiceName, 6_000); // 'v1', or undefined while two versions serve
 */
export class VersionHistory {
  private readonly observed = new Map<ServiceName, readonly VersionPeriod[]>();
  private readonly recorded = new Map<ServiceName, readonly VersionPeriod[]>();
  /** Start of the uninterrupted observation, on the monotonic clock, in milliseconds. */
  private observedSince = Infinity;
  private isOutdated = true;
  private knownInterruptions = 0;
  private isRecordOutdated = false;

  public constructor(
    private readonly source: VersionSource,
    private readonly timers: TimerService,
  ) {
    source.subscribe(() => {
      this.isOutdated = true;
    });
  }

  /** Takes in the registered replicas; to be called at intervals, so that each period is noticed. */
  public update(): void {
    const now = this.timers.now();
    const interruptions = this.source.interruptionCount();
    if (interruptions !== this.knownInterruptions) {
      this.knownInterruptions = interruptions;
      this.observedSince = Infinity;
      this.isRecordOutdated = true;
    }
    this.observedSince =
      this.source.ageMilliseconds() > MAXIMUM_CONTACT_GAP_MILLISECONDS
        ? Infinity
        : Math.min(this.observedSince, now);
    if (!this.isOutdated) {
      return;
    }
    this.isOutdated = false;
    // A service without replicas keeps its last period: no stream begins there.
    for (const [service, versions] of groupVersions(this.source.listAll())) {
      const periods = this.observed.get(service) ?? [];
      const period = { startedAt: now, versions };
      this.observed.set(service, appendPeriod(periods, period, now - KEPT_PERIOD_MILLISECONDS));
    }
  }

  /** Whether the record was read since the list was last interrupted: what served meanwhile is known only from it. */
  public get isRecordCurrent(): boolean {
    this.update();
    return !this.isRecordOutdated;
  }

  /** Notes that the whole record was read. */
  public confirmRecord(): void {
    this.isRecordOutdated = false;
  }

  /** Takes in the periods of a service that the store records. */
  public adoptRecord(service: ServiceName, periods: readonly VersionPeriod[]): void {
    this.recorded.set(service, periods);
  }

  /** Returns the versions of a service that the store records last; `undefined` if it records none. */
  public findRecordedVersions(service: ServiceName): ReadonlySet<SoftwareVersion> | undefined {
    return this.recorded.get(service)?.at(-1)?.versions;
  }

  /** Returns the versions of each service that this instance observed last; a set stays the same object until it changes. */
  public listLatestVersions(): ReadonlyMap<ServiceName, ReadonlySet<SoftwareVersion>> {
    this.update();
    const latest = new Map<ServiceName, ReadonlySet<SoftwareVersion>>();
    for (const [service, periods] of this.observed) {
      latest.set(service, periods.at(-1)?.versions ?? new Set());
    }
    return latest;
  }

  /** Time since the list of replicas was last confirmed by the store, in milliseconds. */
  public ageMilliseconds(): number {
    return this.source.ageMilliseconds();
  }

  /** Whether the list of replicas was confirmed of late. */
  public get isObserving(): boolean {
    this.update();
    return this.observedSince !== Infinity;
  }

  /** Whether replicas of several versions are registered for a service. */
  public hasSeveralVersions(service: ServiceName): boolean {
    this.update();
    return (this.observed.get(service)?.at(-1)?.versions.size ?? 0) > 1;
  }

  /** Returns the version of a service if it alone is registered and the store records just that. */
  public findRecordedSingleVersion(service: ServiceName): SoftwareVersion | undefined {
    this.update();
    const observed = findSingle(this.observed.get(service)?.at(-1));
    const recorded = findSingle(this.recorded.get(service)?.at(-1));
    return observed === recorded ? observed : undefined;
  }

  /**
   * Returns the version at which a stream without a record began: the one that was alone at the start
   * of the window before now, if no other one was alone since. `undefined` if it is not certain, also
   * because neither this instance nor the store knows the start of the window.
   */
  public findAssumedVersion(
    service: ServiceName,
    windowMilliseconds: number,
  ): SoftwareVersion | undefined {
    const [version, ...others] = this.listSingleVersions(service, windowMilliseconds);
    const versionsAtStart = this.findVersionsAtStart(service, windowMilliseconds);
    return others.length === 0 && versionsAtStart?.size === 1 ? version : undefined;
  }

  /** Returns the version of a service that was alone during the whole window before now, as observed and as recorded. */
  public findSoleVersion(
    service: ServiceName,
    windowMilliseconds: number,
  ): SoftwareVersion | undefined {
    const wasAlone = this.listPeriods(service, windowMilliseconds).every(
      ({ versions }) => versions.size === 1,
    );
    return wasAlone ? this.findAssumedVersion(service, windowMilliseconds) : undefined;
  }

  /**
   * Whether an instance may find that another version was alone at some time of the window before
   * now: `false` only if the whole window is known and none was.
   */
  public mayFindOtherVersion(
    service: ServiceName,
    version: SoftwareVersion,
    windowMilliseconds: number,
  ): boolean {
    const singleVersions = this.listSingleVersions(service, windowMilliseconds);
    return (
      this.findVersionsAtStart(service, windowMilliseconds) === undefined ||
      singleVersions.some(single => single !== version)
    );
  }

  private hasObserved(time: number): boolean {
    return this.observedSince <= time;
  }

  private findVersionsAtStart(
    service: ServiceName,
    windowMilliseconds: number,
  ): ReadonlySet<SoftwareVersion> | undefined {
    this.update();
    const windowStart = this.timers.now() - windowMilliseconds;
    if (this.hasObserved(windowStart)) {
      return findVersionsAt(this.observed.get(service) ?? [], windowStart);
    }
    return this.isRecordOutdated
      ? undefined
      : findVersionsAt(this.recorded.get(service) ?? [], windowStart);
  }

  /** Returns each version that was alone at some time of the window before now. */
  private listSingleVersions(
    service: ServiceName,
    windowMilliseconds: number,
  ): readonly SoftwareVersion[] {
    return listSingle(this.listPeriods(service, windowMilliseconds));
  }

  /** Returns the periods of the window before now, as observed and as recorded. */
  private listPeriods(service: ServiceName, windowMilliseconds: number): readonly VersionPeriod[] {
    this.update();
    const windowStart = this.timers.now() - windowMilliseconds;
    return [this.observed, this.recorded].flatMap(periods =>
      listPeriodsSince(periods.get(service) ?? [], windowStart),
    );
  }
}

function findSingle(period: VersionPeriod | undefined): SoftwareVersion | undefined {
  const [version, ...others] = period?.versions ?? [];
  return others.length === 0 ? version : undefined;
}

function listSingle(periods: readonly VersionPeriod[]): readonly SoftwareVersion[] {
  const single = periods
    .filter(({ versions }) => versions.size === 1)
    .flatMap(({ versions }) => [...versions]);
  return [...new Set(single)];
}

function groupVersions(
  entries: readonly ReplicaEntry[],
): ReadonlyMap<ServiceName, ReadonlySet<SoftwareVersion>> {
  const versions = new Map<ServiceName, Set<SoftwareVersion>>();
  for (const { service, softwareVersion } of entries) {
    versions.set(service, (versions.get(service) ?? new Set()).add(softwareVersion));
  }
  return versions;
}
