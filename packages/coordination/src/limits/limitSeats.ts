import type { IncarnationId, Logger, ShardId, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { failureText } from '@zincring/core';

import type { SessionRow } from '../leases/leaseRows.js';
import type { LeaseTerms } from '../leases/session.js';
import type { TimedShare } from './workspaceEscrow.js';

import { sessionRowKey } from '../leases/leaseRows.js';
import { Session } from '../leases/session.js';
import { SessionObserver } from '../leases/sessionObserver.js';
import { preferredHolder } from '../shards/shardMap.js';

/** Options of {@link LimitSeats}. */
export interface LimitSeatsOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly terms: LeaseTerms;
  /** Number of seats; the same on every instance, and never changed. */
  readonly seatCount: number;
  readonly instance: string;
  /** Address that this process has bound. */
  readonly address: string;
  /** Returns the names of the instances that should hold seats. */
  readonly eligible: () => ReadonlySet<string>;
  readonly createIncarnation: () => IncarnationId;
  /** Interval of polling the seats of others and of retrying a renewal, in milliseconds. */
  readonly pollMilliseconds: number;
  /**
   * Time from the acquisition of a seat until it counts, in milliseconds; at least the longest loan
   * that an earlier holder may have granted.
   */
  readonly activationDelayMilliseconds: number;
}

/** Row of a seat in the table. */
interface SeatRow {
  readonly holder: IncarnationId | null;
}

interface HeldSeat {
  readonly rowVersion: number;
  /** Monotonic time from which the seat counts, in milliseconds. */
  readonly usableFrom: number;
}

/** Seat as it was read from the table. */
interface ObservedSeat {
  readonly seat: number;
  readonly holder: IncarnationId | null;
  readonly rowVersion: number;
}

const SEAT_DIGITS = 5;
/** Maximum fraction of all seats that one instance releases in one tick. */
const MAXIMUM_RELEASED_FRACTION = 1 / 16;

/** Key of the row of a seat. */
export function seatRowKey(seat: number): string {
  return `limit-seat/${String(seat).padStart(SEAT_DIGITS, '0')}`;
}

/**
 * Manages the seats that this instance holds; a seat is a fixed share of every workspace's rate and
 * burst. The seats are leased for long terms by one session row per incarnation. Call
 * {@link LimitSeats.tick} often: it reads and writes only when something is due.
 */
export class LimitSeats {
  private session: Session;
  private readonly observer: SessionObserver;
  private readonly held = new Map<number, HeldSeat>();
  /** Row versions of seats whose release the table has not confirmed yet. */
  private readonly pendingReleases = new Map<number, number>();
  private renewDueAt = Number.NEGATIVE_INFINITY;
  private pollDueAt = Number.NEGATIVE_INFINITY;
  private isTicking = false;
  private isStopping = false;

  public constructor(private readonly options: LimitSeatsOptions) {
    this.session = this.createSession();
    this.observer = new SessionObserver(options.timers, options.terms.termMilliseconds);
  }

  /** Numbers of the seats held, in no particular order. */
  public get heldSeats(): readonly number[] {
    return [...this.held.keys()];
  }

  /** Shares of rate and burst that the held seats give, each with the span in which it is usable. */
  public ownedShares(): readonly TimedShare[] {
    if (this.held.size === 0 || !this.session.isValid) {
      return [];
    }
    const until = this.options.timers.now() + this.session.remainingMilliseconds;
    const seatCountByStart = new Map<number, number>();
    for (const { usableFrom } of this.held.values()) {
      seatCountByStart.set(usableFrom, (seatCountByStart.get(usableFrom) ?? 0) + 1);
    }
    return [...seatCountByStart].map(([from, count]) => ({
      from,
      share: count / this.options.seatCount,
      until,
    }));
  }

  /** Share that one seat gives; `undefined` if no valid session holds the seat. */
  public shareOfSeat(seat: number): TimedShare | undefined {
    const held = this.held.get(seat);
    if (held === undefined || !this.session.isValid) {
      return undefined;
    }
    const until = this.options.timers.now() + this.session.remainingMilliseconds;
    return { from: held.usableFrom, share: 1 / this.options.seatCount, until };
  }

  /** Renews the session when due, releases misplaced seats and acquires those preferred here. */
  public async tick(): Promise<void> {
    if (this.isTicking || this.isStopping) {
      return;
    }
    this.isTicking = true;
    try {
      await this.renewIfDue();
      await this.rebalance();
    } catch (failure) {
      this.options.logger.warn({ failure: failureText(failure) }, 'limit seats not kept up');
    } finally {
      this.isTicking = false;
    }
  }

  /** Releases every seat, so that others need not wait for the end of the term. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    this.scheduleRelease([...this.held.keys()]);
    await this.commitReleases();
    await this.session.end();
  }

  private createSession(): Session {
    const { createIncarnation } = this.options;
    return new Session({ ...this.options, incarnation: createIncarnation() });
  }

  private async renewIfDue(): Promise<void> {
    const sentAt = this.options.timers.now();
    if (sentAt < this.renewDueAt) {
      return;
    }
    this.renewDueAt = sentAt + this.options.pollMilliseconds;
    const renewal = await this.session.renew();
    if (renewal === 'lost') {
      this.options.logger.warn({ incarnation: this.session.incarnation }, 'limit seats lost');
      this.held.clear();
      this.pendingReleases.clear();
      this.session = this.createSession();
      this.renewDueAt = sentAt;
      return;
    }
    if (renewal === 'renewed') {
      this.renewDueAt = sentAt + this.options.terms.renewMilliseconds;
    }
  }

  private async rebalance(): Promise<void> {
    if (!this.session.isValid) {
      return;
    }
    const eligible = this.options.eligible();
    const seatsToAcquire: number[] = [];
    const seatsToRelease: number[] = [];
    for (let seat = 0; seat < this.options.seatCount; seat++) {
      const isPreferredHere = preferredHolder(seat as ShardId, eligible) === this.options.instance;
      const isHeld = this.held.has(seat);
      if (isPreferredHere && !isHeld && !this.pendingReleases.has(seat)) {
        seatsToAcquire.push(seat);
      }
      if (!isPreferredHere && isHeld) {
        seatsToRelease.push(seat);
      }
    }
    // A seat that changes its holder is unusable for a time, so only a few do so in one tick.
    this.scheduleRelease(
      seatsToRelease.slice(0, Math.ceil(this.options.seatCount * MAXIMUM_RELEASED_FRACTION)),
    );
    await this.commitReleases();
    await this.acquireFree(seatsToAcquire);
  }

  private scheduleRelease(seats: readonly number[]): void {
    for (const seat of seats) {
      const held = this.held.get(seat);
      if (held !== undefined) {
        this.held.delete(seat);
        this.pendingReleases.set(seat, held.rowVersion);
      }
    }
  }

  private async commitReleases(): Promise<void> {
    const seats = [...this.pendingReleases];
    if (seats.length === 0) {
      return;
    }
    const outcome = await this.options.table.transact({
      checks: seats.map(([seat, version]) => ({ key: seatRowKey(seat), version })),
      writes: seats.map(([seat]) => ({ key: seatRowKey(seat), value: formatRow(null) })),
    });
    if (outcome.err) {
      return;
    }
    // A conflict reports the rows that an earlier write without a response had already released.
    const isCommitted = outcome.val.status === 'committed';
    const reportedKeys = new Set(outcome.val.rows.map(row => row.key));
    for (const [seat] of seats) {
      if (isCommitted || reportedKeys.has(seatRowKey(seat))) {
        this.pendingReleases.delete(seat);
      }
    }
  }

  private async acquireFree(candidates: readonly number[]): Promise<void> {
    const now = this.options.timers.now();
    if (candidates.length === 0 || now < this.pollDueAt) {
      return;
    }
    this.pollDueAt = now + this.options.pollMilliseconds;
    const read = await this.options.table.read(candidates.map(seatRowKey));
    if (read.err) {
      return;
    }
    const seats = read.val.map((row, index) => parseRow(candidates[index] ?? 0, row));
    const endedHolders = await this.endStaleSessions(seats);
    const free = seats.filter(
      ({ holder }) =>
        holder === null || holder === this.session.incarnation || endedHolders.has(holder),
    );
    if (free.length > 0) {
      await this.acquire(free);
    }
  }

  /**
   * Ends sessions that have expired or belong to an earlier process at this address.
   *
   * @returns holders whose session has ended
   */
  private async endStaleSessions(
    seats: readonly ObservedSeat[],
  ): Promise<ReadonlySet<IncarnationId>> {
    const holders = new Set<IncarnationId>();
    for (const { holder } of seats) {
      if (holder !== null && holder !== this.session.incarnation) {
        holders.add(holder);
      }
    }
    this.observer.retain(holders);
    const endedHolders = new Set<IncarnationId>();
    const readStartedAt = this.options.timers.now();
    const read = await this.options.table.read([...holders].map(sessionRowKey));
    if (read.err) {
      return endedHolders;
    }
    for (const [index, holder] of [...holders].entries()) {
      const row = read.val[index];
      if (row === undefined) {
        continue;
      }
      const isExpired = this.observer.observe(holder, row, readStartedAt);
      if ((isExpired || this.isEarlierIncarnation(row)) && (await this.endSession(row))) {
        endedHolders.add(holder);
      }
    }
    return endedHolders;
  }

  /** Whether a session belongs to an earlier process at the address that this process has bound. */
  private isEarlierIncarnation(row: Row): boolean {
    const { address, instance } = JSON.parse(row.value) as SessionRow;
    return address === this.options.address && instance === this.options.instance;
  }

  /** Deletes the row of a session, so that its holder can never renew it again. */
  private async endSession(row: Row): Promise<boolean> {
    if (row.version === 0) {
      return true;
    }
    const outcome = await this.options.table.transact({
      checks: [{ key: row.key, version: row.version }],
      writes: [{ key: row.key, value: null }],
    });
    return outcome.ok && outcome.val.status === 'committed';
  }

  private async acquire(seats: readonly ObservedSeat[]): Promise<void> {
    const outcome = await this.options.table.transact({
      checks: [
        this.session.check,
        ...seats.map(each => ({ key: seatRowKey(each.seat), version: each.rowVersion })),
      ],
      writes: seats.map(each => ({
        key: seatRowKey(each.seat),
        value: formatRow(this.session.incarnation),
      })),
    });
    if (outcome.err || outcome.val.status === 'conflict' || this.isStopping) {
      return;
    }
    const now = this.options.timers.now();
    for (const [index, each] of seats.entries()) {
      const rowVersion = outcome.val.rows[index]?.version ?? 0;
      // A seat that was never held has no outstanding loans to wait for.
      const usableFrom =
        each.rowVersion === 0 ? now : now + this.options.activationDelayMilliseconds;
      this.held.set(each.seat, { rowVersion, usableFrom });
    }
    this.options.logger.info({ seats: seats.length }, 'limit seats taken');
  }
}

function formatRow(holder: IncarnationId | null): string {
  return JSON.stringify({ holder } satisfies SeatRow);
}

function parseRow(seat: number, row: Row): ObservedSeat {
  const holder = row.version === 0 ? null : (JSON.parse(row.value) as SeatRow).holder;
  return { holder, rowVersion: row.version, seat };
}
