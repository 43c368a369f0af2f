import type { Logger, ServiceName, TimerService, TimerSubscription } from '@zincring/core';
import type { PartitionedRow, RowAddress } from '@zincring/platform';

import { failureText } from '@zincring/core';

import type { MonitoredTable } from '../store/monitoredTable.js';
import type { SoftwareVersion } from './replica.js';
import type { VersionHistory } from './versionHistory.js';
import type { VersionPeriod } from './versionPeriods.js';

import { isNumber, isTextList, toFields } from '../util/jsonFields.js';
import { KEPT_PERIOD_MILLISECONDS } from './versionHistory.js';
import { appendPeriod, isSameSet } from './versionPeriods.js';

/** Dependencies of a {@link VersionRecord}. */
export interface VersionRecordDependencies {
  readonly table: MonitoredTable;
  readonly versions: VersionHistory;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns a random number between 0 and 1. */
  readonly random: () => number;
}

/** Row of a service. */
interface StoredVersions {
  /** Periods in their order, with their start on the store's monotonic clock, in milliseconds. */
  readonly periods: readonly { readonly startedAt: number; readonly versions: readonly string[] }[];
}

/** Rows of all services, as the store last answered them. */
interface RecordSnapshot {
  readonly rows: ReadonlyMap<string, PartitionedRow>;
  /** Time on the store's monotonic clock, in milliseconds. */
  readonly storeTime: number;
}

/** A row to be written. */
interface RecordChange {
  readonly service: ServiceName;
  /** Periods on the store's clock. */
  readonly periods: readonly VersionPeriod[];
  /** Version of the row that is replaced. */
  readonly version: number;
}

/** Table of the versions, which is also its only partition. */
const VERSION_TABLE = 'versions';
/** Interval at which observed versions are compared with recorded ones, in milliseconds. */
const COMPARISON_INTERVAL_MILLISECONDS = 1_000;
/** Time over which instances that see the same change spread, so that most find it recorded, in milliseconds. */
const SPREAD_MILLISECONDS = 500;
/** Maximum number of rows changed at a time: each is checked and written, and the store accepts 100 entries. */
const MAXIMUM_ROWS_PER_TRANSACTION = 50;
/** Maximum number of times that the record is read and written for one stream: its write may meet that of another instance. */
const MAXIMUM_LISTING_TRIES = 2;
/** Rows requested in one page: the store's own limit. */
const ROWS_PER_PAGE = 500;

/**
 * Keeps in the store which versions of each service served when, so that an instance that has just
 * started knows at which version a stream can have begun before. A row is written when an instance
 * observes a change; while versions stay the same, each instance reads once after its start.
 *
 * Answers the load of many streams that are taken up after all instances were killed at once, while
 * or soon after a service changed its version.
 *
 * @example
 * const record = new VersionRecord({ logger, random, table, timers, versions });
 * record.start();
 * if (await record.refresh()) { versions.findAssumedVersion(service, 6_000); }
 */
export class VersionRecord {
  /** Observed versions for which no change of the record is due. */
  private readonly settled = new Map<ServiceName, ReadonlySet<SoftwareVersion>>();
  /** Services whose rows cannot be read. */
  private readonly unreadable = new Set<ServiceName>();
  private comparisonTimer: TimerSubscription | undefined;
  private spreadTimer: TimerSubscription | undefined;
  private pendingRead: Promise<RecordSnapshot | undefined> | undefined;
  /** Read that starts when the pending one has ended. */
  private nextRead: Promise<RecordSnapshot | undefined> | undefined;
  private pendingSettlement: Promise<void> | undefined;
  /** Whether the record was read since the last time in which changes may have been missed. */
  private isCurrent = false;

  public constructor(private readonly dependencies: VersionRecordDependencies) {}

  /** Starts to compare observed versions with recorded ones. */
  public start(): void {
    void this.refresh();
    this.comparisonTimer = this.dependencies.timers.every(COMPARISON_INTERVAL_MILLISECONDS, () => {
      this.compare();
    });
  }

  /** Stops the comparison. */
  public stop(): void {
    this.comparisonTimer?.stop();
    this.spreadTimer?.stop();
  }

  /**
   * Reads the record as of now or later; concurrent callers share reads. Returns whether it succeeded.
   */
  public async refresh(): Promise<boolean> {
    return (await this.readShared()) !== undefined;
  }

  /**
   * Whether the record, as this instance knows it, lists a version of a service last; always for a row
   * that cannot be read, on which nobody relies.
   */
  public isListed(service: ServiceName, version: SoftwareVersion): boolean {
    const { versions } = this.dependencies;
    const listed = versions.findRecordedVersions(service);
    return versions.isRecordCurrent && (listed?.has(version) ?? this.unreadable.has(service));
  }

  /** Makes the record list a version that serves, without the usual delay. Returns whether it does. */
  public async ensureListed(service: ServiceName, version: SoftwareVersion): Promise<boolean> {
    for (let tries = 0; tries < MAXIMUM_LISTING_TRIES; tries++) {
      if (this.isListed(service, version)) {
        return true;
      }
      this.pendingSettlement ??= this.settle().finally(() => {
        this.pendingSettlement = undefined;
      });
      await this.pendingSettlement;
    }
    return this.isListed(service, version);
  }

  private compare(): void {
    const { random, timers, versions } = this.dependencies;
    if (!versions.isObserving) {
      this.isCurrent = false;
      return;
    }
    if (this.isCurrent && versions.isRecordCurrent && this.listUnsettled().length === 0) {
      return;
    }
    this.spreadTimer?.stop();
    this.spreadTimer = timers.after(random() * SPREAD_MILLISECONDS, () => void this.settle());
  }

  /** Returns the services whose observed versions differ from the record and changed since that was noted. */
  private listUnsettled(): readonly ServiceName[] {
    const { versions } = this.dependencies;
    for (const [service, latest] of versions.listLatestVersions()) {
      if (isSameSet(versions.findRecordedVersions(service), latest)) {
        this.settled.set(service, latest);
      }
    }
    return [...versions.listLatestVersions()]
      .filter(([service, latest]) => this.settled.get(service) !== latest)
      .map(([service]) => service);
  }

  /** Reads the record and writes the versions that are still missing there. */
  private async settle(): Promise<void> {
    const { logger, table } = this.dependencies;
    const snapshot = await this.readShared();
    if (snapshot === undefined) {
      return;
    }
    const changes = this.listUnsettled()
      .slice(0, MAXIMUM_ROWS_PER_TRANSACTION)
      .flatMap(service => this.makeChange(snapshot, service));
    if (changes.length === 0) {
      return;
    }
    const outcome = await table.essential.transact({
      checks: changes.map(({ service, version }) => ({ ...makeAddress(service), version })),
      removals: [],
      writes: changes.map(({ periods, service }) => ({
        ...makeAddress(service),
        value: encodePeriods(periods),
      })),
    });
    if (outcome.err) {
      logger.warn(
        { event: 'versions-not-recorded', failure: outcome.val.message },
        'could not record which versions serve',
      );
      return;
    }
    if (outcome.val.status === 'committed') {
      for (const { periods, service } of changes) {
        this.adopt(service, periods, outcome.val.storeTime);
      }
    }
  }

  private makeChange(
    { rows, storeTime }: RecordSnapshot,
    service: ServiceName,
  ): readonly RecordChange[] {
    const versions = this.dependencies.versions.listLatestVersions().get(service);
    const row = rows.get(service);
    const known = row === undefined ? [] : this.decode(row);
    if (versions === undefined) {
      return [];
    }
    if (known === undefined) {
      this.settled.set(service, versions);
      return [];
    }
    const period = { startedAt: storeTime, versions };
    const periods = appendPeriod(known, period, storeTime - KEPT_PERIOD_MILLISECONDS);
    return [{ periods, service, version: row?.version ?? 0 }];
  }

  private async readShared(): Promise<RecordSnapshot | undefined> {
    if (this.pendingRead === undefined) {
      this.pendingRead = this.read().finally(() => {
        this.pendingRead = undefined;
      });
      return await this.pendingRead;
    }
    // What the pending read answers may be older than the call.
    this.nextRead ??= this.pendingRead.then(async () => {
      this.nextRead = undefined;
      return await this.readShared();
    });
    return await this.nextRead;
  }

  private async read(): Promise<RecordSnapshot | undefined> {
    const page = await this.dependencies.table.essential.read({
      from: '',
      limit: ROWS_PER_PAGE,
      partition: VERSION_TABLE,
      table: VERSION_TABLE,
    });
    if (page.err) {
      return undefined;
    }
    const { rows, storeTime } = page.val;
    this.isCurrent = true;
    this.dependencies.versions.confirmRecord();
    for (const row of rows) {
      this.adoptRow(row, storeTime);
    }
    return { rows: new Map(rows.map(row => [row.key, row])), storeTime };
  }

  private adoptRow(row: PartitionedRow, storeTime: number): void {
    const service = row.key as ServiceName;
    const periods = this.decode(row);
    if (periods === undefined) {
      this.unreadable.add(service);
    } else {
      this.unreadable.delete(service);
    }
    this.adopt(service, periods ?? [], storeTime);
  }

  /** Passes recorded periods on, with their starts on the clock of this instance. */
  private adopt(service: ServiceName, periods: readonly VersionPeriod[], storeTime: number): void {
    const { timers, versions } = this.dependencies;
    const offset = timers.now() - storeTime;
    versions.adoptRecord(
      service,
      periods.map(period => ({ ...period, startedAt: period.startedAt + offset })),
    );
  }

  /** Returns the periods of a row; `undefined` for one that cannot be read, which another build may have written. */
  private decode(row: PartitionedRow): readonly VersionPeriod[] | undefined {
    try {
      return decodePeriods(row.value);
    } catch (failure) {
      this.dependencies.logger.warn(
        { event: 'row-unreadable', failure: failureText(failure), row: row.key, table: row.table },
        'a stored row cannot be read, so it is kept',
      );
      return undefined;
    }
  }
}

function makeAddress(service: ServiceName): RowAddress {
  return { key: service, partition: VERSION_TABLE, table: VERSION_TABLE };
}

/** Reads the periods of a row; throws if it holds none. */
function decodePeriods(value: Buffer): readonly VersionPeriod[] {
  const { periods } = JSON.parse(value.toString()) as Partial<StoredVersions>;
  if (!Array.isArray(periods)) {
    throw new TypeError('the row holds no periods');
  }
  return periods.map((period: unknown) => {
    const { startedAt, versions } = toFields(period);
    if (!isNumber(startedAt) || !isTextList(versions)) {
      throw new TypeError('the row holds an odd period');
    }
    return { startedAt, versions: new Set(versions as readonly SoftwareVersion[]) };
  });
}

function encodePeriods(periods: readonly VersionPeriod[]): Buffer {
  const stored: StoredVersions = {
    periods: periods.map(({ startedAt, versions }) => ({
      startedAt,
      versions: [...versions].sort(),
    })),
  };
  return Buffer.from(JSON.stringify(stored));
}
