import type { IncarnationId, TimerService } from '@zincring/core';
import type { Row, RowCheck, TableService } from '@zincring/platform';

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

const END_ATTEMPTS = 3;

/**
 * The lease of one incarnation: one row, one write a renewal, however many shards it holds.
 * The holder counts its term on its monotonic clock from before it sent the renewal.
 */
export class Session {
  public readonly incarnation: IncarnationId;
  private rowVersion = 0;
  private renewal = 0;
  private validUntil = Number.NEGATIVE_INFINITY;
  private hasEnded = false;
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

  /** Renews the session, or opens it the first time. Not to be called again before it returned. */
  public async renew(): Promise<RenewalOutcome> {
    if (this.hasEnded) {
      return 'lost';
    }
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
    const row = outcome.val.rows[0];
    if (row === undefined) {
      return 'unknown';
    }
    if (outcome.val.status === 'conflict') {
      return this.adopt(row);
    }
    this.unsettled.clear();
    this.accept(row.version, sentAt);
    return 'renewed';
  }

  /** Ends the session, so that others need not wait for its term. */
  public async end(): Promise<void> {
    this.hasEnded = true;
    this.validUntil = Number.NEGATIVE_INFINITY;
    for (let attempt = 0; attempt < END_ATTEMPTS; attempt++) {
      const outcome = await this.options.table.transact({
        checks: [this.check],
        writes: [{ key: this.check.key, value: null }],
      });
      const row = outcome.ok ? outcome.val.rows[0] : undefined;
      if (row === undefined) {
        continue;
      }
      if (row.version === 0) {
        return;
      }
      // A renewal without an answer moved the row.
      this.rowVersion = row.version;
    }
  }

  private accept(rowVersion: number, sentAt: number): void {
    if (this.hasEnded) {
      return;
    }
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
    // While the version stands, the unanswered renewals may still arrive: they stay unsettled.
    return row.version === this.rowVersion ? 'renewed' : this.adopt(row);
  }

  /** Takes over a row that an unanswered renewal of this session wrote. */
  private adopt(row: Row): RenewalOutcome {
    const sentAt = this.unsettled.get(row.value);
    if (sentAt === undefined) {
      return 'lost';
    }
    this.unsettled.clear();
    this.accept(row.version, sentAt);
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
