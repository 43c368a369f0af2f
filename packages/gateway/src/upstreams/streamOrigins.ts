import type { Logger, Result, ServiceName, TimerService } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { Err, Ok, sleep, ZincringError } from '@zincring/core';

import type { RequestId } from '../callers/requestFacts.js';
import type { GatewayRoute } from '../configuration/gatewayConfiguration.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { RunnableRequest } from './attemptLoop.js';
import type { ReplicaEntry, SoftwareVersion } from './replica.js';
import type { OriginLookup, StreamOrigin } from './decideResumedVersion.js';
import type { VersionHistory } from './versionHistory.js';
import type { VersionRecord } from './versionRecord.js';

import { readRow } from '../store/editRow.js';
import { PartitionSet } from '../store/partitionSet.js';
import { toFields } from '../util/jsonFields.js';
import { decideResumedVersion } from './decideResumedVersion.js';
import { isSameSet } from './versionPeriods.js';

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsDependencies {
  readonly table: MonitoredTable;
  readonly versions: VersionHistory;
  readonly versionRecord: Pick<VersionRecord, 'ensureListed' | 'isListed' | 'refresh'>;
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Row of a stream. */
interface StoredOrigin {
  readonly service: string;
  readonly version: string;
  /** Earliest time at which the row may be removed, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
}

const STREAM_TABLE = 'streams';
/** Partitions of the table: together they take more transactions than the store accepts from all instances. */
const streamPartitions = new PartitionSet(STREAM_TABLE, 16);
/** Maximum time for which the first event of a stream waits until its version is recorded, in milliseconds. */
const WRITE_TIMEOUT_MILLISECONDS = 300;
/** Age of the list of replicas with which streams may always begin: instances without the store soon take no requests with a key. */
const MINIMUM_LAG_MILLISECONDS = 4_000;
/** Description of the streams for the removal of expired rows. */
export const sweptStreams: SweptTable = {
  expiresAt: row => (JSON.parse(row.value.toString()) as StoredOrigin).expiresAt,
  keysOf: row => [row.key],
  partitions: streamPartitions.names,
  table: STREAM_TABLE,
};

/**
 * Records in the store at which software version a stream began, so that any instance can go on
 * with it after the one that began it is gone. Nothing is recorded while each instance, also one that
 * has just started, assumes the same version for a stream without a record.
 *
 * @example
 * if (await origins.record(request, entry)) { forward(firstEvent); }
 * const version = await origins.resolve(resumedRequest); // at any instance
 */
export class StreamOrigins {
  public constructor(private readonly dependencies: StreamOriginsDependencies) {}

  /**
   * Records the replica that sent the first event of a stream. Returns whether the event may be
   * forwarded: whether each instance that is asked to go on with the stream finds its version or refuses.
   */
  public async record(request: RunnableRequest, entry: ReplicaEntry): Promise<boolean> {
    const { deadline, facts, route } = request;
    const { timers, versionRecord, versions } = this.dependencies;
    if (facts.requestId === undefined || !route.isResumable) {
      return true;
    }
    if (this.isOutOfStep(route)) {
      return false;
    }
    const window = computeWindowMilliseconds(route);
    const isListed = versionRecord.isListed(entry.service, entry.softwareVersion);
    if (
      isListed &&
      versions.findRecordedSingleVersion(entry.service) === entry.softwareVersion &&
      versions.findAssumedVersion(entry.service, window) === entry.softwareVersion
    ) {
      return true;
    }
    const write = this.write(facts.requestId, route, entry);
    const timeout = sleep(
      timers,
      Math.min(WRITE_TIMEOUT_MILLISECONDS, deadline - timers.now()),
    ).then(() => false);
    // Who takes up a stream without its row, or its name, reads in the record which versions can have begun it.
    const listing = isListed || versionRecord.ensureListed(entry.service, entry.softwareVersion);
    if (!(await Promise.race([listing, timeout]))) {
      return false;
    }
    if (
      entry.softwareVersion === this.findPreferredVersion(request) ||
      !versions.mayFindOtherVersion(entry.service, entry.softwareVersion, window)
    ) {
      return true;
    }
    return await Promise.race([write, timeout]);
  }

  /**
   * Returns the version at which a stream should begin because no other one could be recorded: for
   * a stream without a record, each instance assumes this version or refuses. `undefined` if any
   * version will do.
   */
  public findPreferredVersion({ route, service }: RunnableRequest): SoftwareVersion | undefined {
    const { table, versions } = this.dependencies;
    if (!route.isResumable || !table.isUnavailable) {
      return undefined;
    }
    return (
      versions.findRecordedSingleVersion(service.name) ??
      versions.findAssumedVersion(service.name, computeWindowMilliseconds(route))
    );
  }

  /**
   * Finds the version at which a stream that its caller takes up must go on; `undefined` for other
   * requests. Fails with `upstream-unavailable` or `store-unavailable` if the version is not certain,
   * since replicas do not check it, and for streams that could not be taken up with certainty later.
   */
  public async resolve({
    facts,
    route,
    service,
  }: RunnableRequest): Promise<Result<SoftwareVersion | undefined, ZincringError>> {
    const { table, versions } = this.dependencies;
    if (route.isResumable && this.isOutOfStep(route)) {
      return Err(
        new ZincringError('store-unavailable', {
          detail: 'the list of replicas is older than a stream may last',
          retryAfterSeconds: table.retryAfterSeconds,
        }),
      );
    }
    if (facts.lastEventId === undefined || route.kind !== 'streaming') {
      return Ok(undefined);
    }
    const window = computeWindowMilliseconds(route);
    const lookup = await this.lookUp(facts.resumedRequest);
    const version = decideResumedVersion(lookup, {
      assumed: versions.findAssumedVersion(service.name, window),
      service: service.name,
      sole: this.findSoleVersion(service.name, window),
    });
    if (version !== undefined) {
      return Ok(version);
    }
    return Err(
      lookup.kind === 'unknown'
        ? new ZincringError('store-unavailable', {
            detail: 'the version at which the stream began could not be read',
            retryAfterSeconds: table.retryAfterSeconds,
          })
        : new ZincringError('upstream-unavailable', {
            detail: 'the version at which the stream began is not known or serves no longer',
          }),
    );
  }

  /** Whether the list of replicas is older than the lag that others allow for when they assume a version. */
  private isOutOfStep(route: GatewayRoute): boolean {
    return this.dependencies.versions.ageMilliseconds() > computeMaximumLagMilliseconds(route);
  }

  /**
   * Reads the row of a stream and, for a stream without one, which versions served while it can have begun:
   * other instances may have seen replicas that this one has not seen yet.
   */
  private async lookUp(id: RequestId | undefined): Promise<OriginLookup> {
    const { table, versionRecord } = this.dependencies;
    const read = id === undefined ? undefined : await readRow(table, makeAddress(id));
    if (read?.err === true) {
      return { kind: 'unknown' };
    }
    const value = read?.val.row.value;
    if (value !== undefined) {
      const origin = decodeOrigin(value);
      return origin === undefined ? { kind: 'unknown' } : { kind: 'found', origin };
    }
    if (!(await versionRecord.refresh())) {
      return { kind: 'unknown' };
    }
    return { kind: id === undefined ? 'unnamed' : 'absent' };
  }

  /** Returns the version that was alone as observed and as recorded, if the record lists it and nothing else. */
  private findSoleVersion(
    service: ServiceName,
    windowMilliseconds: number,
  ): SoftwareVersion | undefined {
    const { versions } = this.dependencies;
    const listed = versions.findRecordedVersions(service);
    const sole = versions.findSoleVersion(service, windowMilliseconds);
    return sole !== undefined && isSameSet(listed, new Set([sole])) ? sole : undefined;
  }

  private async write(
    id: RequestId,
    { timeoutMilliseconds }: GatewayRoute,
    { service, softwareVersion }: ReplicaEntry,
  ): Promise<boolean> {
    const { logger, table, timers } = this.dependencies;
    const origin: StoredOrigin = {
      expiresAt: timers.wallClock() + 2 * timeoutMilliseconds,
      service,
      version: softwareVersion,
    };
    const address = makeAddress(id);
    const outcome = await table.essential.transact({
      checks: [{ ...address, version: 0 }],
      removals: [],
      writes: [{ ...address, value: Buffer.from(JSON.stringify(origin)) }],
    });
    if (outcome.err) {
      logger.warn(
        { event: 'stream-origin-not-kept', failure: outcome.val.message, request: id },
        'could not record at which version a stream began',
      );
      return false;
    }
    // An earlier write whose answer was lost is in conflict with this one.
    const [row] = outcome.val.status === 'conflict' ? outcome.val.rows : [];
    return row === undefined || decodeOrigin(row.value)?.version === softwareVersion;
  }
}

/** Time before now in which a stream that is taken up can have begun, and before that the lag of the list by which it began. */
function computeWindowMilliseconds(route: GatewayRoute): number {
  return route.timeoutMilliseconds + computeMaximumLagMilliseconds(route);
}

/** Maximum age of the list of replicas with which an instance begins a stream. */
function computeMaximumLagMilliseconds({ timeoutMilliseconds }: GatewayRoute): number {
  return Math.max(timeoutMilliseconds, MINIMUM_LAG_MILLISECONDS);
}

function makeAddress(id: RequestId): RowAddress {
  return { key: id, partition: streamPartitions.of(id), table: STREAM_TABLE };
}

/** Reads the origin of a stream; `undefined` if the row holds none. */
function decodeOrigin(value: Buffer): StreamOrigin | undefined {
  try {
    const { service, version } = toFields(JSON.parse(value.toString()));
    return typeof service === 'string' && typeof version === 'string'
      ? { service: service as ServiceName, version: version as SoftwareVersion }
      : undefined;
  } catch {
    // Text that is no JSON is treated like any other row without an origin.
    return undefined;
  }
}
