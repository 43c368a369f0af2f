import type { Logger, Result, ServiceName, TimerService, UpstreamId } from '@zincring/core';
import type { PartitionedRow, PartitionedTable, RowChange } from '@zincring/platform';

import { LRUCache } from 'lru-cache';

import type { ReplicaEntry } from './replica.js';

import { TableFollower } from '../store/tableFollower.js';

/** Table in which replicas register, and the decoder of its rows. */
export interface ReplicaSource {
  readonly table: string;
  /** Decodes an entry; fails for rows that were not written by a replica. */
  decode(id: string, value: Buffer): Result<ReplicaEntry, string>;
}

/** Time settings of a {@link ReplicaDirectory}. */
export interface ReplicaDirectoryOptions {
  /** Maximum wait of one poll for changes, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause between polls while entries change, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** Grace period after an outage of the store in which replicas may register again, in milliseconds. */
  readonly registrationGraceMilliseconds: number;
  /** Minimum time without contact to the store that counts as an outage, in milliseconds. */
  readonly minimumOutageMilliseconds: number;
}

/** A change of the directory. */
export type ReplicaChange =
  | { readonly kind: 'gone'; readonly id: UpstreamId }
  | { readonly kind: 'seen'; readonly entry: ReplicaEntry };

/** Initial backoff after a failed poll, in milliseconds. */
const INITIAL_BACKOFF_MILLISECONDS = 100;

/** Maximum number of unreadable entries that are remembered. */
const MAXIMUM_UNREADABLE = 1_000;

/**
 * List of the registered replicas. Entries may expire while the store is unavailable; replicas that
 * are missing right after an outage are kept for a grace period in which they can register again.
 *
 * @example
 * directory.findReplicas('minutes-llm' as ServiceName);
 */
export class ReplicaDirectory {
  private readonly entries = new Map<UpstreamId, ReplicaEntry>();
  private readonly follower: TableFollower;
  private readonly listeners: ((change: ReplicaChange) => void)[] = [];
  /** Entries missing since an outage, with the end of their grace period on the monotonic clock, in milliseconds. */
  private readonly missingUntil = new Map<UpstreamId, number>();
  /** Entries that were logged as unreadable. */
  private readonly unreadable = new LRUCache<UpstreamId, true>({ max: MAXIMUM_UNREADABLE });
  /** End of the grace period after the last outage, on the monotonic clock, in milliseconds. */
  private graceUntil = -Infinity;
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
        initialBackoffMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
        pauseMilliseconds: options.pauseMilliseconds,
        table: source.table,
        waitMilliseconds: options.waitMilliseconds,
      },
      {
        onChanges: changes => {
          changes.forEach(change => {
            this.applyChange(change);
          });
        },
        onSnapshot: rows => {
          this.applySnapshot(rows);
        },
      },
    );
  }

  /** Whether the registered replicas have been read at least once. */
  public get isLoaded(): boolean {
    return this.hasSnapshot;
  }

  /** Time since the list was last confirmed by the store, in milliseconds. */
  public ageMilliseconds(): number {
    return this.follower.contactMilliseconds();
  }

  /** Number of times that the list was out of date for some time and then confirmed again. */
  public interruptionCount(): number {
    return this.follower.interruptionCount();
  }

  /** Finds the replicas of a service, including draining ones. */
  public findReplicas(service: ServiceName): readonly ReplicaEntry[] {
    this.dropExpired();
    return [...this.entries.values()].filter(entry => entry.service === service);
  }

  /** Returns all registered replicas. */
  public listAll(): readonly ReplicaEntry[] {
    this.dropExpired();
    return [...this.entries.values()];
  }

  /** Calls the listener with each change. */
  public subscribe(listener: (change: ReplicaChange) => void): void {
    this.listeners.push(listener);
  }

  /** Starts following the table. */
  public start(): void {
    this.follower.start();
  }

  /** Stops following the table; the list is no longer updated. */
  public stop(): void {
    this.follower.stop();
  }

  private applySnapshot(rows: readonly PartitionedRow[]): void {
    const now = this.timers.now();
    if (this.hasSnapshot && this.ageMilliseconds() > this.options.minimumOutageMilliseconds) {
      this.graceUntil = now + this.options.registrationGraceMilliseconds;
    }
    this.hasSnapshot = true;
    const present = new Set(rows.map(row => row.key as UpstreamId));
    for (const id of [...this.entries.keys()].filter(known => !present.has(known))) {
      this.remove(id);
    }
    for (const row of rows) {
      this.applyRow(row);
    }
  }

  private applyChange(change: RowChange): void {
    if (change.kind === 'written') {
      this.applyRow(change.row);
      return;
    }
    this.remove(change.row.key as UpstreamId);
  }

  private applyRow(row: PartitionedRow): void {
    const id = row.key as UpstreamId;
    const decoded = this.source.decode(row.key, row.value);
    if (decoded.err) {
      this.recordUnreadable(id, decoded.val);
      return;
    }
    this.unreadable.delete(id);
    this.missingUntil.delete(id);
    const known = this.entries.get(id);
    const entry = this.withColdEnd(decoded.val);
    this.entries.set(id, entry);
    if (known === undefined || describeRegistration(known) !== describeRegistration(entry)) {
      this.logger.info(
        {
          event: 'replica-seen',
          replica: id,
          service: entry.service,
          state: describeRegistration(entry),
        },
        'a replica registered or changed its registration',
      );
      this.notify({ entry, kind: 'seen' });
    }
  }

  /** An entry that cannot be used names no replica, also if it replaces one that could. */
  private recordUnreadable(id: UpstreamId, failure: string): void {
    if (!this.unreadable.has(id)) {
      this.unreadable.set(id, true);
      this.logger.warn(
        { event: 'row-unreadable', failure, row: id, table: this.source.table },
        'the entry of a replica cannot be used, so it names none',
      );
    }
    if (this.entries.has(id)) {
      this.drop(id, failure);
    }
  }

  /** The remaining time counts from when it is read, so an entry that arrives late makes it longer, never shorter. */
  private withColdEnd(entry: ReplicaEntry): ReplicaEntry {
    return entry.coldMilliseconds > 0
      ? { ...entry, coldUntil: this.timers.now() + entry.coldMilliseconds }
      : entry;
  }

  private remove(id: UpstreamId): void {
    if (!this.entries.has(id) || this.missingUntil.has(id)) {
      return;
    }
    if (this.timers.now() < this.graceUntil) {
      this.missingUntil.set(id, this.graceUntil);
      return;
    }
    this.drop(id, 'its entry was removed');
  }

  private dropExpired(): void {
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
    this.logger.info({ event: 'replica-gone', reason, replica: id }, 'removed a replica');
    this.notify({ id, kind: 'gone' });
  }

  private notify(change: ReplicaChange): void {
    for (const listener of this.listeners) {
      listener(change);
    }
  }
}

function describeRegistration(entry: ReplicaEntry): string {
  const state = entry.isDraining ? 'draining' : 'ready';
  return `${entry.runId} ${entry.host}:${String(entry.port)} ${state}`;
}
