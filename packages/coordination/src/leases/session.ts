import type { IncarnationId, TimerService } from '@zincring/core';
import type { RowCheck, TableService } from '@zincring/platform';

import type { SessionRow } from './leaseRows.js';

import { sessionRowKey } from './leaseRows.js';

/** Terms of a lease, in milliseconds of monotonic time. */
export interface LeaseTerms {
  /** How long a renewal holds. */
  readonly termMilliseconds: number;
  /** How much earlier the holder stops, against drift between clocks. */
  readonly marginMilliseconds: number;
  /** Time between renewals. */
  readonly renewMilliseconds: number;
}

/** How a renewal ended. */
export type RenewalOutcome = 'lost' | 'renewed' | 'unknown';

/** What a session needs. */
export interface SessionOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly terms: LeaseTerms;
  readonly incarnation: IncarnationId;
  readonly instance: string;
  readonly address: string;
}

/**
 * The lease of one incarnation: one row, one write a renewal, however many shards it holds.
 * The holder counts its term on its monotonic clock from before it sent the renewal.
 */
export class Session {
  public readonly incarnation: IncarnationId;
  private rowVersion = 0;
  private renewal = 0;
  private validUntil = Number.NEGATIVE_INFINITY;
  /** Values of renewals whose outcome is unknown, with the time before each was sent. */
  private readonly unsettled = new Map<string, number>();

  public constructor(private readonly options: SessionOptions) {
    this.incarnation = options.incarnation;
  }

  /** Whether the term is running. To be asked again after every wait. */
  public get isValid(): boolean {
    return this.options.timers.now() < this.validUntil;
  }

  /** Milliseconds left of the term. */
  public get remainingMilliseconds(): number {
    return Math.max(0, this.validUntil - this.options.timers.now());
  }

  /** A check that makes a transaction fail once the session has been ended by another. */
  public get check(): RowCheck {
    return { key: sessionRowKey(this.incarnation), version: this.rowVersion };
  }

  /** Renews the session, or opens it the first time. */
  public async renew(): Promise<RenewalOutcome> {
    if (this.unsettled.size > 0) {
      const settled = await this.settle();
      if (settled !== 'renewed') {
        return settled;
      }
    }
    const sentAt = this.options.timers.now();
    const value = this.nextValue();
    const outcome = await this.options.table.transact({
      checks: [this.check],
      writes: [{ key: this.check.key, value }],
    });
    if (outcome.err) {
      if (outcome.val.failure === 'outcome-unknown') {
        this.unsettled.set(value, sentAt);
      }
      return 'unknown';
    }
    if (outcome.val.status === 'conflict') {
      return 'lost';
    }
    this.accept(outcome.val.rows[0]?.version ?? 0, sentAt);
    return 'renewed';
  }

  /** Ends the session, so that others need not wait for its term. */
  public async end(): Promise<void> {
    this.validUntil = Number.NEGATIVE_INFINITY;
    await this.options.table.transact({
      checks: [this.check],
      writes: [{ key: this.check.key, value: null }],
    });
  }

  private accept(rowVersion: number, sentAt: number): void {
    const { marginMilliseconds, termMilliseconds } = this.options.terms;
    this.rowVersion = rowVersion;
    this.validUntil = Math.max(this.validUntil, sentAt + termMilliseconds - marginMilliseconds);
  }

  /** Learns from the row which of the renewals without an answer took effect. */
  private async settle(): Promise<RenewalOutcome> {
    const read = await this.options.table.read([this.check.key]);
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) {
      return 'unknown';
    }
    const sentAt = this.unsettled.get(row.value);
    if (sentAt !== undefined) {
      this.unsettled.clear();
      this.accept(row.version, sentAt);
      return 'renewed';
    }
    if (row.version !== this.rowVersion) {
      return 'lost';
    }
    // The unanswered renewals may still arrive, but only while the version stands: the next
    // renewal moves it, and they fail their check.
    return 'renewed';
  }

  private nextValue(): string {
    this.renewal++;
    const row: SessionRow = {
      address: this.options.address,
      instance: this.options.instance,
      renewal: this.renewal,
    };
    return JSON.stringify(row);
  }
}
