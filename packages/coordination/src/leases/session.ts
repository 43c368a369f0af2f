import type { IncarnationId, TimerService } from '@zincring/core';
import type { Row, RowCheck, TableService } from '@zincring/platform';

import type { SessionRow } from './leaseRows.js';

import { sessionRowKey } from './leaseRows.js';

/** Durations that govern a lease, in milliseconds on the monotonic clock. */
export interface LeaseTerms {
  /** Time for which a renewal keeps the lease valid. */
  readonly termMilliseconds: number;
  /** Time before the end of the term at which the holder stops, to allow for clock drift. */
  readonly marginMilliseconds: number;
  /** Interval between renewals. */
  readonly renewMilliseconds: number;
}

/** Outcome of a renewal. */
export type RenewalOutcome = 'lost' | 'renewed' | 'unknown';

/** Options of a {@link Session}. */
export interface SessionOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly terms: LeaseTerms;
  readonly incarnation: IncarnationId;
  readonly instance: string;
  readonly address: string;
}

const MAXIMUM_END_ATTEMPTS = 3;

/**
 * The lease of one incarnation: a single row, renewed by one write regardless of how many shards
 * the incarnation holds. The holder measures its term on its monotonic clock from before it sent
 * the renewal.
 */
export class Session {
  public readonly incarnation: IncarnationId;
  private rowVersion = 0;
  private renewalNumber = 0;
  private validUntil = Number.NEGATIVE_INFINITY;
  private hasEnded = false;
  /** Row values of renewals whose outcome is unknown, with the time before each was sent. */
  private readonly unresolvedRenewals = new Map<string, number>();

  public constructor(private readonly options: SessionOptions) {
    this.incarnation = options.incarnation;
  }

  /** Whether the term is still running. Must be checked again after every await. */
  public get isValid(): boolean {
    return this.options.timers.now() < this.validUntil;
  }

  /** Remaining time of the term, in milliseconds. */
  public get remainingMilliseconds(): number {
    return Math.max(0, this.validUntil - this.options.timers.now());
  }

  /** Check that makes a transaction fail once another instance has ended the session. */
  public get check(): RowCheck {
    return { key: sessionRowKey(this.incarnation), version: this.rowVersion };
  }

  /** Renews the session; the first call creates it. Calls must not overlap. */
  public async renew(): Promise<RenewalOutcome> {
    if (this.hasEnded) {
      return 'lost';
    }
    if (this.unresolvedRenewals.size > 0) {
      const resolved = await this.resolveRenewals();
      if (resolved !== 'renewed') {
        return resolved;
      }
    }
    const sentAt = this.options.timers.now();
    const value = this.nextRowValue();
    const outcome = await this.options.table.transact({
      checks: [this.check],
      writes: [{ key: this.check.key, value }],
    });
    if (outcome.err) {
      if (outcome.val.failure === 'outcome-unknown') {
        this.unresolvedRenewals.set(value, sentAt);
      }
      return 'unknown';
    }
    const row = outcome.val.rows[0];
    if (row === undefined) {
      return 'unknown';
    }
    if (outcome.val.status === 'conflict') {
      return this.applyUnresolvedRenewal(row);
    }
    this.unresolvedRenewals.clear();
    this.applyRenewal(row.version, sentAt);
    return 'renewed';
  }

  /** Ends the session, so that other instances need not wait for its term to expire. */
  public async end(): Promise<void> {
    this.hasEnded = true;
    this.validUntil = Number.NEGATIVE_INFINITY;
    for (let attempt = 0; attempt < MAXIMUM_END_ATTEMPTS; attempt++) {
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
      // An unresolved renewal took effect and changed the version of the row.
      this.rowVersion = row.version;
    }
  }

  private applyRenewal(rowVersion: number, sentAt: number): void {
    if (this.hasEnded) {
      return;
    }
    const { marginMilliseconds, termMilliseconds } = this.options.terms;
    this.rowVersion = rowVersion;
    this.validUntil = Math.max(this.validUntil, sentAt + termMilliseconds - marginMilliseconds);
  }

  /** Determines from the row which of the unresolved renewals took effect. */
  private async resolveRenewals(): Promise<RenewalOutcome> {
    const read = await this.options.table.read([this.check.key]);
    const row = read.ok ? read.val[0] : undefined;
    if (row === undefined) {
      return 'unknown';
    }
    // While the version is unchanged, the unresolved renewals may still arrive, so they are kept.
    return row.version === this.rowVersion ? 'renewed' : this.applyUnresolvedRenewal(row);
  }

  /**
   * Applies a row that an unresolved renewal of this session wrote. Any other row means that the
   * session was lost.
   */
  private applyUnresolvedRenewal(row: Row): RenewalOutcome {
    const sentAt = this.unresolvedRenewals.get(row.value);
    if (sentAt === undefined) {
      return 'lost';
    }
    this.unresolvedRenewals.clear();
    this.applyRenewal(row.version, sentAt);
    return 'renewed';
  }

  private nextRowValue(): string {
    this.renewalNumber++;
    const row: SessionRow = {
      address: this.options.address,
      instance: this.options.instance,
      renewal: this.renewalNumber,
    };
    return JSON.stringify(row);
  }
}
