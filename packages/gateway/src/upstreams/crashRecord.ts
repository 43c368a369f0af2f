import type { Logger, TimerService, UpstreamId } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';
import type { BodyDigest, CrashId, UpstreamCrash } from '@zincring/scheduling';

import { sha256Hex, ZincringError } from '@zincring/core';
import { Quarantine } from '@zincring/scheduling';

import type { RunnableRequest } from './attemptLoop.js';
import type { SweptTable } from '../store/rowSweeper.js';
import type { ReplicaEntry } from './replica.js';

import { TableFollower } from '../store/tableFollower.js';

/** What a {@link CrashRecord} works with. */
export interface CrashRecordParts {
  readonly table: PartitionedTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Makes identifiers that no other instance makes. */
  readonly makeId: () => string;
}

interface StoredCrash {
  readonly body: string;
  readonly upstream: string;
  /** By the wall clock, in milliseconds. */
  readonly at: number;
}

/** Table in which instances tell each other of crashes. */
export const CRASH_TABLE = 'crashes';
/** The crashes, for removal after their end. */
export const sweptCrashes: SweptTable = {
  expiresAt: row => (JSON.parse(row.value.toString()) as StoredCrash).at + REFUSED_MILLISECONDS,
  keysOf: row => [row.key],
  partitions: [''],
  table: CRASH_TABLE,
};
/** Crashes after which a request is refused: as many as the operator allows a request. */
const MAXIMUM_CRASHES = 3;
/** Time for which a request is refused, in milliseconds: several comebacks of a replica. */
const REFUSED_MILLISECONDS = 120_000;
/** Requests remembered. */
const MAXIMUM_BODIES = 2_000;
/** Longest wait for news of crashes, in milliseconds: news must be known everywhere within three seconds. */
const WAIT_MILLISECONDS = 2_000;
/** Pause after news of crashes, in milliseconds: every instance reads each of them, so they are read together. */
const PAUSE_MILLISECONDS = 1_000;
/** First pause after a failed read, in milliseconds. */
const BACKOFF_MILLISECONDS = 200;
/** When a refused caller may come back, in seconds. */
const RETRY_SECONDS = 60;

/**
 * Requests whose replicas crashed while running them, counted over all instances. A request that
 * has crashed three replicas is refused for a time, whoever sends it again.
 *
 * @example
 * const refusal = crashes.check(request);
 */
export class CrashRecord {
  private readonly quarantine = new Quarantine({
    durationMilliseconds: REFUSED_MILLISECONDS,
    maxBodies: MAXIMUM_BODIES,
    maxCrashes: MAXIMUM_CRASHES,
  });
  private readonly follower: TableFollower;

  public constructor(private readonly parts: CrashRecordParts) {
    this.follower = new TableFollower(
      parts.table,
      parts.timers,
      parts.logger,
      {
        backoffMilliseconds: BACKOFF_MILLISECONDS,
        pauseMilliseconds: PAUSE_MILLISECONDS,
        table: CRASH_TABLE,
        waitMilliseconds: WAIT_MILLISECONDS,
      },
      {
        onChanges: changes => {
          for (const change of changes) {
            if (change.kind === 'written') {
              this.take(change.row.key, change.row.value);
            }
          }
        },
        onSnapshot: rows => {
          for (const row of rows) {
            this.take(row.key, row.value);
          }
        },
      },
    );
  }

  /** Begins to listen for crashes that other instances saw. */
  public start(): void {
    this.follower.start();
  }

  /** Ends. */
  public stop(): void {
    this.follower.stop();
  }

  /** The refusal of a request that has crashed too many replicas. */
  public check(request: RunnableRequest): ZincringError | undefined {
    if (this.quarantine.size === 0) {
      return undefined;
    }
    const body = digestOf(request);
    const crashes = this.quarantine.countCrashes(body, this.parts.timers.now());
    if (crashes < MAXIMUM_CRASHES) {
      return undefined;
    }
    return new ZincringError('upstream-unavailable', {
      detail: `the request has crashed ${String(crashes)} replicas`,
      retryAfterSeconds: RETRY_SECONDS,
    });
  }

  /** Counts a replica that was lost while it began to run a request, and tells the other instances. */
  public note(request: RunnableRequest, entry: ReplicaEntry): void {
    const body = digestOf(request);
    const death = this.parts.makeId();
    this.remember({
      ageMilliseconds: 0,
      body,
      death: death as CrashId,
      upstream: entry.id,
    });
    const crash: StoredCrash = { at: this.parts.timers.wallClock(), body, upstream: entry.id };
    void this.tell(death, crash);
  }

  private async tell(death: string, crash: StoredCrash): Promise<void> {
    const address = { key: death, partition: '', table: CRASH_TABLE };
    const outcome = await this.parts.table.transact({
      checks: [],
      removals: [],
      writes: [{ ...address, value: Buffer.from(JSON.stringify(crash)) }],
    });
    if (outcome.err) {
      this.parts.logger.warn(
        { event: 'crash-not-told', failure: outcome.val.message, replica: crash.upstream },
        'other instances do not know of a crash',
      );
    }
  }

  private take(death: string, value: Buffer): void {
    const crash = JSON.parse(value.toString()) as StoredCrash;
    this.remember({
      ageMilliseconds: this.parts.timers.wallClock() - crash.at,
      body: crash.body as BodyDigest,
      death: death as CrashId,
      upstream: crash.upstream as UpstreamId,
    });
  }

  private remember(death: UpstreamCrash): void {
    this.quarantine.recordCrash(death, this.parts.timers.now());
  }
}

function digestOf(request: RunnableRequest): BodyDigest {
  const head = `${request.method} ${request.path}\n${request.workspace ?? ''}\n`;
  return sha256Hex(Buffer.concat([Buffer.from(head), request.body])) as BodyDigest;
}
