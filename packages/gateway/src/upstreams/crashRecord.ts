import type { Logger, TimerService, UpstreamId } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';
import type { BodyDigest, CrashId, UpstreamCrash } from '@zincring/scheduling';

import { sha256Hex, ZincringError } from '@zincring/core';
import { Quarantine } from '@zincring/scheduling';

import type { RunnableRequest } from './attemptLoop.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { ReplicaEntry } from './replica.js';

import { TableFollower } from '../store/tableFollower.js';

/** Dependencies of a {@link CrashRecord}. */
export interface CrashRecordDependencies {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Generates identifiers that are unique across all instances. */
  readonly makeId: () => string;
}

interface StoredCrash {
  readonly body: string;
  readonly upstream: string;
  /** Time of the crash on the wall clock, in milliseconds. */
  readonly at: number;
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
const REFUSAL_MILLISECONDS = 120_000;
/** Maximum number of request bodies whose crashes are tracked. */
const MAXIMUM_TRACKED_BODIES = 2_000;
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
 * has crashed three replicas (a poison request) is refused for some time, whichever caller of the
 * workspace sends it again.
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
              this.applyRow(change.row.key, change.row.value);
            }
          }
        },
        onSnapshot: rows => {
          for (const row of rows) {
            this.applyRow(row.key, row.value);
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
    const bodyDigest = computeDigest(request);
    const crashes = this.quarantine.countCrashes(bodyDigest, this.dependencies.timers.now());
    if (crashes < MAXIMUM_CRASHES) {
      return undefined;
    }
    return new ZincringError('upstream-unavailable', {
      detail: `the request has crashed ${String(crashes)} replicas`,
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }

  /** Records a replica whose connection was lost while it ran a request, and reports it to the other instances. */
  public record(request: RunnableRequest, entry: ReplicaEntry): void {
    const bodyDigest = computeDigest(request);
    const crashId = this.dependencies.makeId();
    this.addToQuarantine({
      ageMilliseconds: 0,
      body: bodyDigest,
      death: crashId as CrashId,
      upstream: entry.id,
    });
    const storedCrash: StoredCrash = {
      at: this.dependencies.timers.wallClock(),
      body: bodyDigest,
      upstream: entry.id,
    };
    void this.publish(crashId, storedCrash);
  }

  private async publish(crashId: string, storedCrash: StoredCrash): Promise<void> {
    const address = { key: crashId, partition: '', table: CRASH_TABLE };
    const outcome = await this.dependencies.table.transact({
      checks: [],
      removals: [],
      writes: [{ ...address, value: Buffer.from(JSON.stringify(storedCrash)) }],
    });
    if (outcome.err) {
      this.dependencies.logger.warn(
        { event: 'crash-not-told', failure: outcome.val.message, replica: storedCrash.upstream },
        'could not report a crash to the other instances',
      );
    }
  }

  private applyRow(crashId: string, value: Buffer): void {
    const storedCrash = parseCrash(value);
    if (storedCrash === undefined) {
      this.dependencies.logger.warn(
        { event: 'row-unreadable', row: crashId, table: CRASH_TABLE },
        'a reported crash cannot be read, so it is not counted',
      );
      return;
    }
    this.addToQuarantine({
      ageMilliseconds: this.dependencies.timers.wallClock() - storedCrash.at,
      body: storedCrash.body as BodyDigest,
      death: crashId as CrashId,
      upstream: storedCrash.upstream as UpstreamId,
    });
  }

  private addToQuarantine(crash: UpstreamCrash): void {
    this.quarantine.recordCrash(crash, this.dependencies.timers.now());
  }
}

function parseCrash(value: Buffer): StoredCrash | undefined {
  try {
    const { at, body, upstream } = JSON.parse(value.toString()) as Partial<StoredCrash>;
    return typeof at === 'number' && typeof body === 'string' && typeof upstream === 'string'
      ? { at, body, upstream }
      : undefined;
  } catch {
    // Text that is no JSON is reported like any other row that is no crash.
    return undefined;
  }
}

function computeDigest(request: RunnableRequest): BodyDigest {
  const head = `${request.method} ${request.path}\n${request.workspace ?? ''}\n`;
  return sha256Hex(Buffer.concat([Buffer.from(head), request.body])) as BodyDigest;
}
