import type { Logger, TimerService, UpstreamId } from '@zincring/core';
import type { PartitionedTable, RowAddress } from '@zincring/platform';
import type { BodyDigest, CrashId, UpstreamCrash } from '@zincring/scheduling';

import { sha256Hex, ZincringError } from '@zincring/core';
import { Quarantine } from '@zincring/scheduling';
import { LRUCache } from 'lru-cache';

import type { RequestFacts } from '../callers/requestFacts.js';
import type { RunnableRequest } from './attemptLoop.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { ReplicaEntry } from './replica.js';

import { TableFollower } from '../store/tableFollower.js';

/** Dependencies of a {@link CrashRecord}. */
export interface CrashRecordDependencies {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Crash of a replica while it ran a request. */
export interface ReplicaCrash {
  readonly identity: BodyDigest;
  readonly entry: ReplicaEntry;
  /** Times at which the request was sent and the replica crashed, on the monotonic clock, in milliseconds. */
  readonly sentAt: number;
  readonly crashedAt: number;
}

interface StoredCrash {
  readonly body: string;
  readonly upstream: string;
  /** Time of the crash on the wall clock, in milliseconds. */
  readonly at: number;
  /** Time for which the replica had run the request, in milliseconds; builds up to 09c0dd7 do not write it. */
  readonly ran?: number | undefined;
}

/** Table through which instances report crashes to each other. */
export const CRASH_TABLE = 'crashes';
/** Description of the crashes for the removal of expired rows. */
export const sweptCrashes: SweptTable = {
  expiresAt: row => (JSON.parse(row.value.toString()) as StoredCrash).at + REFUSAL_MILLISECONDS,
  keysOf: row => [row.key],
  partitions: [''],
  table: CRASH_TABLE,
};
/** Number of crashes after which a request is refused: the maximum that the operator accepts per request. */
const MAXIMUM_CRASHES = 3;
/** Time for which a request is refused, in milliseconds: several restarts of a replica. */
export const REFUSAL_MILLISECONDS = 120_000;
/** Maximum number of request bodies whose crashes are tracked. */
const MAXIMUM_TRACKED_BODIES = 2_000;
/** Maximum number of requests without a body of which the time of the last response is kept. */
const MAXIMUM_SERVED_REQUESTS = 2_000;
/** Maximum wait of a poll for crashes, in milliseconds: each crash must be known at all instances within three seconds. */
const POLL_WAIT_MILLISECONDS = 2_000;
/** Pause after a poll that returned crashes, in milliseconds: every instance reads every crash, so they are read in batches. */
const POLL_PAUSE_MILLISECONDS = 1_000;
/** Initial backoff after a failed poll, in milliseconds. */
const INITIAL_BACKOFF_MILLISECONDS = 200;
/** Retry delay for refused callers, in seconds. */
const RETRY_AFTER_SECONDS = 60;

/**
 * Counts the replicas that crashed while they ran a request, across all instances. A request that
 * has crashed three replicas one after the other (a poison request) is refused for some time, whichever
 * caller of the workspace sends it again. A crash before a request of the same identity was served does
 * not count: what crashes each replica that runs it is never served.
 *
 * @example
 * const refusal = crashes.check(request);
 */
export class CrashRecord {
  private readonly quarantine = new Quarantine({
    durationMilliseconds: REFUSAL_MILLISECONDS,
    maximumBodies: MAXIMUM_TRACKED_BODIES,
    maximumCrashes: MAXIMUM_CRASHES,
  });
  private readonly follower: TableFollower;
  /** Crashes read from the table. */
  private readonly toldCrashes = new Set<CrashId>();
  /** Identities of running requests that may have crashed a replica. */
  private readonly suspects = new WeakMap<RequestFacts, BodyDigest>();
  /** Time at which the last served request of an identity was sent, on the monotonic clock, in milliseconds. */
  private readonly servedAt = new LRUCache<BodyDigest, number>({ max: MAXIMUM_SERVED_REQUESTS });

  public constructor(private readonly dependencies: CrashRecordDependencies) {
    this.follower = new TableFollower(
      dependencies.table,
      dependencies.timers,
      dependencies.logger,
      {
        initialBackoffMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
        pauseMilliseconds: POLL_PAUSE_MILLISECONDS,
        table: CRASH_TABLE,
        waitMilliseconds: POLL_WAIT_MILLISECONDS,
      },
      {
        onChanges: changes => {
          for (const change of changes) {
            if (change.kind === 'written') {
              this.applyRow(change.row.key as CrashId, change.row.value);
            } else {
              this.forget(change.row.key as CrashId);
            }
          }
        },
        onSnapshot: rows => {
          const present = new Set(rows.map(({ key }) => key as CrashId));
          for (const told of this.toldCrashes) {
            if (!present.has(told)) {
              this.forget(told);
            }
          }
          for (const row of rows) {
            this.applyRow(row.key as CrashId, row.value);
          }
        },
      },
    );
  }

  /** Starts following the crashes reported by other instances. */
  public start(): void {
    this.follower.start();
  }

  /** Stops following the crashes reported by other instances. */
  public stop(): void {
    this.follower.stop();
  }

  /** Returns the refusal of a request that has crashed too many replicas, or `undefined`. */
  public check(request: RunnableRequest): ZincringError | undefined {
    if (this.quarantine.size === 0) {
      return undefined;
    }
    const identity = identifyRequest(request);
    const crashes = this.quarantine.countCrashes(identity, this.dependencies.timers.now());
    if (crashes < MAXIMUM_CRASHES) {
      if (crashes > 0) {
        this.suspects.set(request.facts, identity);
      }
      return undefined;
    }
    return new ZincringError('upstream-unavailable', {
      detail: `the request has crashed ${String(crashes)} replicas`,
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }

  /** Returns the identity of a checked request that may have crashed a replica; `undefined` for others. */
  public findSuspect(request: RunnableRequest): BodyDigest | undefined {
    return this.quarantine.size === 0 ? undefined : this.suspects.get(request.facts);
  }

  /** Marks a running request as one that may have crashed a replica, and returns its identity. */
  public suspect(request: RunnableRequest): BodyDigest {
    const identity = identifyRequest(request);
    this.suspects.set(request.facts, identity);
    return identity;
  }

  /** Records a replica that crashed while it ran a request, and reports it to the other instances. */
  public record({ crashedAt, entry, identity, sentAt }: ReplicaCrash): void {
    const { timers } = this.dependencies;
    // A run crashes once, however many requests of an identity it had in flight at however many instances.
    const crashId = sha256Hex(`${entry.runId}\n${identity}`) as CrashId;
    const ageMilliseconds = timers.now() - crashedAt;
    const ranMilliseconds = crashedAt - sentAt;
    this.addToQuarantine({
      ageMilliseconds,
      body: identity,
      death: crashId,
      ranMilliseconds,
      upstream: entry.id,
    });
    void this.publish(crashId, {
      at: timers.wallClock() - ageMilliseconds,
      body: identity,
      ran: ranMilliseconds,
      upstream: entry.id,
    });
  }

  /**
   * Records that a request sent at the given time was served: earlier crashes were not caused by it. Returns its
   * identity if it was marked as suspect.
   */
  public recordServed(request: RunnableRequest, sentAt: number): BodyDigest | undefined {
    const suspect = this.suspects.get(request.facts);
    if (suspect === undefined && request.body.length > 0) {
      return undefined;
    }
    const identity = suspect ?? identifyRequest(request);
    if (request.body.length === 0) {
      this.servedAt.set(identity, sentAt);
    }
    this.clear(identity, sentAt);
    return suspect;
  }

  /** Discards the crashes of an identity that happened before a request of it was sent that has been served. */
  private clear(identity: BodyDigest, servedAt: number): void {
    const cleared = this.quarantine.findCrashesBefore(identity, servedAt);
    if (cleared.length === 0) {
      return;
    }
    this.dependencies.logger.info(
      { content: identity, crashes: cleared.length, event: 'crashes-cleared' },
      'a request with the same content was served, so it did not crash the replicas that had run it',
    );
    cleared.forEach(crashId => {
      this.quarantine.forgetCrash(crashId);
    });
    void this.withdraw(cleared);
  }

  private async withdraw(crashIds: readonly CrashId[]): Promise<void> {
    // A late removal does no harm: the key of a crash names its run, which crashes only once.
    const removals = crashIds.map(toAddress);
    const outcome = await this.dependencies.table.transact({ checks: [], removals, writes: [] });
    if (outcome.err) {
      this.dependencies.logger.warn(
        { crashes: crashIds.length, event: 'clearing-not-told', failure: outcome.val.message },
        'could not tell the other instances that a request did not crash replicas',
      );
    }
  }

  private async publish(crashId: CrashId, storedCrash: StoredCrash): Promise<void> {
    const value = Buffer.from(JSON.stringify(storedCrash));
    const outcome = await this.dependencies.table.transact({
      checks: [],
      removals: [],
      writes: [{ ...toAddress(crashId), value }],
    });
    if (outcome.err) {
      this.dependencies.logger.warn(
        { event: 'crash-not-told', failure: outcome.val.message, replica: storedCrash.upstream },
        'could not report a crash to the other instances',
      );
    }
  }

  private forget(crashId: CrashId): void {
    this.toldCrashes.delete(crashId);
    this.quarantine.forgetCrash(crashId);
  }

  private applyRow(crashId: CrashId, value: Buffer): void {
    const storedCrash = parseCrash(value);
    if (storedCrash === undefined) {
      this.dependencies.logger.warn(
        { event: 'row-unreadable', row: crashId, table: CRASH_TABLE },
        'a reported crash cannot be read, so it is not counted',
      );
      return;
    }
    this.toldCrashes.add(crashId);
    const identity = storedCrash.body as BodyDigest;
    this.addToQuarantine({
      ageMilliseconds: this.dependencies.timers.wallClock() - storedCrash.at,
      body: identity,
      death: crashId,
      ranMilliseconds: storedCrash.ran,
      upstream: storedCrash.upstream as UpstreamId,
    });
    this.clear(identity, this.servedAt.peek(identity) ?? -Infinity);
  }

  private addToQuarantine(crash: UpstreamCrash): void {
    this.quarantine.recordCrash(crash, this.dependencies.timers.now());
  }
}

function toAddress(crashId: CrashId): RowAddress {
  return { key: crashId, partition: '', table: CRASH_TABLE };
}

function parseCrash(value: Buffer): StoredCrash | undefined {
  try {
    const { at, body, ran, upstream } = JSON.parse(value.toString()) as Partial<StoredCrash>;
    return typeof at === 'number' && typeof body === 'string' && typeof upstream === 'string'
      ? { at, body, ran: typeof ran === 'number' ? ran : undefined, upstream }
      : undefined;
  } catch {
    // Text that is no JSON is reported like any other row that is no crash.
    return undefined;
  }
}

/**
 * Computes what a request has in common with its repetitions at any instance: caller, method, path and body.
 *
 * @example
 * const identity = identifyRequest(request);
 */
export function identifyRequest(request: RunnableRequest): BodyDigest {
  const head = `${request.method} ${request.path}\n${request.workspace ?? ''}\n`;
  return sha256Hex(Buffer.concat([Buffer.from(head), request.body])) as BodyDigest;
}
