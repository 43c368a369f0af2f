import type { IncarnationId, Logger, ShardId, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { failureText } from '@zincring/core';

import type { SessionRow } from '../leases/leaseRows.js';
import type { LeaseTerms } from '../leases/session.js';
import type { Stake } from './workspaceEscrow.js';

import { sessionRowKey } from '../leases/leaseRows.js';
import { Session } from '../leases/session.js';
import { SessionObserver } from '../leases/sessionObserver.js';
import { preferredHolder } from '../shards/shardMap.js';

/** What limit seats need. */
export interface LimitSeatsOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly terms: LeaseTerms;
  /** Number of seats, the same on every instance for ever. */
  readonly seatCount: number;
  readonly instance: string;
  /** Address that this process has bound. */
  readonly address: string;
  /** Names of the instances that should hold seats. */
  readonly eligible: () => ReadonlySet<string>;
  readonly createIncarnation: () => IncarnationId;
  /** Time between looks at seats that another holds, in milliseconds. */
  readonly lookMilliseconds: number;
  /** Longest loan of an earlier holder: a seat counts only after it, in milliseconds. */
  readonly settleMilliseconds: number;
}

/** The row of a seat in the table. */
interface SeatRow {
  readonly holder: IncarnationId | null;
}

interface HeldSeat {
  readonly rowVersion: number;
  readonly usableFrom: number;
}

interface ReadSeat {
  readonly seat: number;
  readonly holder: IncarnationId | null;
  readonly rowVersion: number;
}

const SEAT_DIGITS = 5;
/** Part of all seats that one instance hands over in one tick. */
const MOVED_PART = 1 / 16;

/** Key of the row of a seat. */
export function seatRowKey(seat: number): string {
  return `limit-seat/${String(seat).padStart(SEAT_DIGITS, '0')}`;
}

/**
 * Seats of the fleet's limits, leased for long terms by one session row per incarnation. Call
 * {@link LimitSeats.tick} often: it reads and writes only when something is due.
 */
export class LimitSeats {
  private session: Session;
  private readonly observer: SessionObserver;
  private readonly held = new Map<number, HeldSeat>();
  /** Row versions of seats that are given up, until the table has said so. */
  private readonly releasing = new Map<number, number>();
  private renewDueAt = Number.NEGATIVE_INFINITY;
  private lookDueAt = Number.NEGATIVE_INFINITY;
  private isBusy = false;
  private isStopping = false;

  public constructor(private readonly options: LimitSeatsOptions) {
    this.session = this.openSession();
    this.observer = new SessionObserver(options.timers, options.terms.termMilliseconds);
  }

  /** Numbers of the seats held, in no order. */
  public get heldSeats(): readonly number[] {
    return [...this.held.keys()];
  }

  /** The spans of time over which the seats may be used, as shares of the whole. */
  public stakes(): readonly Stake[] {
    if (this.held.size === 0 || !this.session.isValid) {
      return [];
    }
    const until = this.options.timers.now() + this.session.remainingMilliseconds;
    const countFrom = new Map<number, number>();
    for (const { usableFrom } of this.held.values()) {
      countFrom.set(usableFrom, (countFrom.get(usableFrom) ?? 0) + 1);
    }
    return [...countFrom].map(([from, count]) => ({
      from,
      share: count / this.options.seatCount,
      until,
    }));
  }

  /** The span of time over which one seat may be used; `undefined` when it is not held. */
  public stakeOf(seat: number): Stake | undefined {
    const held = this.held.get(seat);
    if (held === undefined || !this.session.isValid) {
      return undefined;
    }
    const until = this.options.timers.now() + this.session.remainingMilliseconds;
    return { from: held.usableFrom, share: 1 / this.options.seatCount, until };
  }

  /** Renews the session when that is due, gives up seats of others and takes those due here. */
  public async tick(): Promise<void> {
    if (this.isBusy || this.isStopping) {
      return;
    }
    this.isBusy = true;
    try {
      await this.renewIfDue();
      await this.rebalance();
    } catch (failure) {
      this.options.logger.warn({ failure: failureText(failure) }, 'limit seats not kept up');
    } finally {
      this.isBusy = false;
    }
  }

  /** Gives every seat up, so that others need not wait for the term. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    this.release([...this.held.keys()]);
    await this.writeReleased();
    await this.session.end();
  }

  private openSession(): Session {
    const { createIncarnation } = this.options;
    return new Session({ ...this.options, incarnation: createIncarnation() });
  }

  private async renewIfDue(): Promise<void> {
    const sentAt = this.options.timers.now();
    if (sentAt < this.renewDueAt) {
      return;
    }
    this.renewDueAt = sentAt + this.options.lookMilliseconds;
    const renewal = await this.session.renew();
    if (renewal === 'lost') {
      this.options.logger.warn({ incarnation: this.session.incarnation }, 'limit seats lost');
      this.held.clear();
      this.releasing.clear();
      this.session = this.openSession();
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
    const wanted: number[] = [];
    const foreign: number[] = [];
    for (let seat = 0; seat < this.options.seatCount; seat++) {
      const isDueHere = preferredHolder(seat as ShardId, eligible) === this.options.instance;
      const isHeld = this.held.has(seat);
      if (isDueHere && !isHeld && !this.releasing.has(seat)) {
        wanted.push(seat);
      }
      if (!isDueHere && isHeld) {
        foreign.push(seat);
      }
    }
    // A seat on the move is idle for a time, so only a few move at once.
    this.release(foreign.slice(0, Math.ceil(this.options.seatCount * MOVED_PART)));
    await this.writeReleased();
    await this.takeFree(wanted);
  }

  private release(seats: readonly number[]): void {
    for (const seat of seats) {
      const held = this.held.get(seat);
      if (held !== undefined) {
        this.held.delete(seat);
        this.releasing.set(seat, held.rowVersion);
      }
    }
  }

  private async writeReleased(): Promise<void> {
    const seats = [...this.releasing];
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
    // A conflict names the rows that had been released already by a write without an answer.
    const isDone = outcome.val.status === 'committed';
    const changed = new Set(outcome.val.rows.map(row => row.key));
    for (const [seat] of seats) {
      if (isDone || changed.has(seatRowKey(seat))) {
        this.releasing.delete(seat);
      }
    }
  }

  private async takeFree(wanted: readonly number[]): Promise<void> {
    const now = this.options.timers.now();
    if (wanted.length === 0 || now < this.lookDueAt) {
      return;
    }
    this.lookDueAt = now + this.options.lookMilliseconds;
    const read = await this.options.table.read(wanted.map(seatRowKey));
    if (read.err) {
      return;
    }
    const seats = read.val.map((row, index) => parseRow(wanted[index] ?? 0, row));
    const ended = await this.findEnded(seats);
    const free = seats.filter(
      ({ holder }) => holder === null || holder === this.session.incarnation || ended.has(holder),
    );
    if (free.length > 0) {
      await this.take(free);
    }
  }

  /** Holders whose session is over, or was that of an earlier process at this address. */
  private async findEnded(seats: readonly ReadSeat[]): Promise<ReadonlySet<IncarnationId>> {
    const holders = new Set<IncarnationId>();
    for (const { holder } of seats) {
      if (holder !== null && holder !== this.session.incarnation) {
        holders.add(holder);
      }
    }
    this.observer.retain(holders);
    const ended = new Set<IncarnationId>();
    const startedAt = this.options.timers.now();
    const read = await this.options.table.read([...holders].map(sessionRowKey));
    if (read.err) {
      return ended;
    }
    for (const [index, holder] of [...holders].entries()) {
      const row = read.val[index];
      if (row === undefined) {
        continue;
      }
      const isExpired = this.observer.observe(holder, row, startedAt);
      if ((isExpired || this.isPredecessor(row)) && (await this.endSession(row))) {
        ended.add(holder);
      }
    }
    return ended;
  }

  /** Whether a session belongs to an earlier process at the address that this one has bound. */
  private isPredecessor(row: Row): boolean {
    const { address, instance } = JSON.parse(row.value) as SessionRow;
    return address === this.options.address && instance === this.options.instance;
  }

  /** Ends a session first, so that its holder can never renew it again. */
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

  private async take(seats: readonly ReadSeat[]): Promise<void> {
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
      // A seat that nobody has held has no loans to wait for.
      const usableFrom = each.rowVersion === 0 ? now : now + this.options.settleMilliseconds;
      this.held.set(each.seat, { rowVersion, usableFrom });
    }
    this.options.logger.info({ seats: seats.length }, 'limit seats taken');
  }
}

function formatRow(holder: IncarnationId | null): string {
  return JSON.stringify({ holder } satisfies SeatRow);
}

function parseRow(seat: number, row: Row): ReadSeat {
  const holder = row.version === 0 ? null : (JSON.parse(row.value) as SeatRow).holder;
  return { holder, rowVersion: row.version, seat };
}
