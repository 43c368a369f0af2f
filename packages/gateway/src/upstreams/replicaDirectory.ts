import type { Logger, Result, ServiceName, TimerService, UpstreamId } from '@zincring/core';
import type { PartitionedRow, PartitionedTable, RowChange } from '@zincring/platform';

import type { ReplicaEntry } from './replica.js';

import { TableFollower } from '../store/tableFollower.js';

/** Where replicas register, and how to read an entry. */
export interface ReplicaSource {
  readonly table: string;
  /** Reads an entry; entries of other writers fail. */
  decode(id: string, value: Buffer): Result<ReplicaEntry, string>;
}

/** Times of a {@link ReplicaDirectory}. */
export interface ReplicaDirectoryOptions {
  /** Longest wait of one request for changes, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause between requests while entries change, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** Time after an outage of the store in which a missing entry may come back, in milliseconds. */
  readonly returnMilliseconds: number;
  /** Shortest loss of contact that counts as an outage, in milliseconds. */
  readonly outageMilliseconds: number;
}

/** A change of the directory. */
export type ReplicaChange =
  | { readonly kind: 'gone'; readonly id: UpstreamId }
  | { readonly kind: 'seen'; readonly entry: ReplicaEntry };

/** First pause after a failed read, in milliseconds. */
const BACKOFF = 100;

/**
 * The replicas that have registered. Entries may lapse while the store is away; replicas that
 * are missing right after an outage are kept until they have had the time to register again.
 *
 * @example
 * directory.replicasOf('minutes-llm' as ServiceName);
 */
export class ReplicaDirectory {
  private readonly entries = new Map<UpstreamId, ReplicaEntry>();
  private readonly follower: TableFollower;
  private readonly listeners: ((change: ReplicaChange) => void)[] = [];
  /** Entries missing since an outage, with the end of their grace by the steady clock. */
  private readonly missingUntil = new Map<UpstreamId, number>();
  private returnsUntil = -Infinity;
  private hasSnapshot = false;

  public constructor(
    table: PartitionedTable,
    private readonly source: ReplicaSource,
    private readonly timers: TimerService,
    private readonly logger: Logger,
    private readonly options: ReplicaDirectoryOptions,
  ) {
    this.follower = new TableFollower(
      table,
      timers,
      logger,
      {
        backoffMilliseconds: BACKOFF,
        pauseMilliseconds: options.pauseMilliseconds,
        table: source.table,
        waitMilliseconds: options.waitMilliseconds,
      },
      {
        onChanges: changes => {
          changes.forEach(change => {
            this.takeChange(change);
          });
        },
        onSnapshot: rows => {
          this.takeSnapshot(rows);
        },
      },
    );
  }

  /** Whether the registered replicas were ever read. */
  public get isKnown(): boolean {
    return this.hasSnapshot;
  }

  /** Age of what is known, in milliseconds. */
  public ageMilliseconds(): number {
    return this.follower.contactMilliseconds();
  }

  /** Replicas of a service, those that drain included. */
  public replicasOf(service: ServiceName): readonly ReplicaEntry[] {
    this.dropMissing();
    return [...this.entries.values()].filter(entry => entry.service === service);
  }

  /** Every registered replica. */
  public all(): readonly ReplicaEntry[] {
    this.dropMissing();
    return [...this.entries.values()];
  }

  /** Calls the listener with each change. */
  public subscribe(listener: (change: ReplicaChange) => void): void {
    this.listeners.push(listener);
  }

  /** Begins to follow. */
  public start(): void {
    this.follower.start();
  }

  /** Ends: the list grows old. */
  public stop(): void {
    this.follower.stop();
  }

  private takeSnapshot(rows: readonly PartitionedRow[]): void {
    const now = this.timers.now();
    if (this.hasSnapshot && this.ageMilliseconds() > this.options.outageMilliseconds) {
      this.returnsUntil = now + this.options.returnMilliseconds;
    }
    this.hasSnapshot = true;
    const present = new Set(rows.map(row => row.key as UpstreamId));
    for (const id of [...this.entries.keys()].filter(known => !present.has(known))) {
      this.remove(id);
    }
    for (const row of rows) {
      this.takeRow(row);
    }
  }

  private takeChange(change: RowChange): void {
    if (change.kind === 'written') {
      this.takeRow(change.row);
      return;
    }
    this.remove(change.row.key as UpstreamId);
  }

  private takeRow(row: PartitionedRow): void {
    const id = row.key as UpstreamId;
    const decoded = this.source.decode(row.key, row.value);
    if (decoded.err) {
      if (this.entries.has(id)) {
        this.drop(id, decoded.val);
      }
      return;
    }
    this.missingUntil.delete(id);
    const known = this.entries.get(id);
    const entry = decoded.val;
    this.entries.set(id, entry);
    if (known === undefined || describe(known) !== describe(entry)) {
      this.logger.info(
        { event: 'replica-seen', replica: id, service: entry.service, state: describe(entry) },
        'a replica has changed',
      );
      this.tell({ entry, kind: 'seen' });
    }
  }

  private remove(id: UpstreamId): void {
    if (!this.entries.has(id) || this.missingUntil.has(id)) {
      return;
    }
    if (this.timers.now() < this.returnsUntil) {
      this.missingUntil.set(id, this.returnsUntil);
      return;
    }
    this.drop(id, 'its entry was removed');
  }

  private dropMissing(): void {
    const now = this.timers.now();
    for (const [id, until] of this.missingUntil) {
      if (until <= now) {
        this.drop(id, 'it did not return after an outage of the store');
      }
    }
  }

  private drop(id: UpstreamId, reason: string): void {
    this.entries.delete(id);
    this.missingUntil.delete(id);
    this.logger.info({ event: 'replica-gone', reason, replica: id }, 'a replica is gone');
    this.tell({ id, kind: 'gone' });
  }

  private tell(change: ReplicaChange): void {
    for (const listener of this.listeners) {
      listener(change);
    }
  }
}

function describe(entry: ReplicaEntry): string {
  const state = entry.isDraining ? 'draining' : 'ready';
  return `${entry.runId} ${entry.host}:${String(entry.port)} ${state}`;
}
