import type { Logger, Result, TimerService } from '@zincring/core';
import type { RowAddress } from '@zincring/platform';

import { Err, Ok, ZincringError } from '@zincring/core';

import type { KnownRow } from '../store/editRow.js';
import type { MonitoredTable } from '../store/monitoredTable.js';
import type { CreditSource, NamedRateLimit, RateAdmission } from './creditSource.js';
import type { OwnedCredit, OwnedCreditReply } from './ownedCredit.js';
import type { CreditGrant, WorkspaceBucket } from './workspaceBucket.js';
import type { CreditOutcome } from './workspaceCredit.js';

import { elapsedSince, readClocks } from '../configuration/contactAge.js';
import { absentRow, editRow } from '../store/editRow.js';
import { isNumber, toFields } from '../util/jsonFields.js';
import { grantCredit, IMMEDIATE_GRANT_MILLISECONDS } from './workspaceBucket.js';
import { WorkspaceCredit } from './workspaceCredit.js';

/** Dependencies of a {@link StoreCreditSource}. */
export interface StoreCreditSourceDependencies {
  readonly table: MonitoredTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Identifies this run of the instance: an earlier run may have spent its credit, which therefore lapses and is not reused. */
  readonly holder: string;
  readonly random: () => number;
}

/** State of one bucket as this instance knows it. */
interface BucketState {
  readonly credit: WorkspaceCredit;
  readonly address: RowAddress;
  row: KnownRow;
  /** Time at which the store last returned the row, on the monotonic clock, in milliseconds. */
  rowReadAt: number;
  /** Whether a draw is in progress; there is at most one. */
  isDrawing: boolean;
  /** Time from which credit may be drawn ahead of demand again, on the monotonic clock, in milliseconds. */
  drawAheadAllowedAt: number;
}

/** Table that stores the buckets. */
export const RATE_TABLE = 'rates';
/** Maximum wait of a request for credit: several response times of a slow store. */
const CREDIT_TIMEOUT_MILLISECONDS = 800;
/** Maximum wait for an empty bucket to refill: a fraction of the time that callers allow for a response. */
const MAXIMUM_REFILL_WAIT_MILLISECONDS = 600;
/** Minimum delay before an empty bucket is tried again for waiting requests: more frequent draws of several instances conflict. */
const MINIMUM_RETRY_DELAY_MILLISECONDS = 120;
/** Bounds of the time for which requests are denied without another draw on an empty bucket. */
const DENIAL_BOUNDS_MILLISECONDS = { maximum: 1_000, minimum: 250 };
/** Minimum interval between draws ahead of demand: less than the demand that each draw covers. */
const DRAW_AHEAD_INTERVAL_MILLISECONDS = 1_500;
/** Age up to which a known row is written without reading it first: several instances change it each second. */
const ROW_FRESHNESS_MILLISECONDS = 40;
/** Number of store failures up to which one draw is retried. */
const MAXIMUM_STORE_FAILURES = 2;
/** Maximum wait of another instance for credit, in milliseconds: a few response times of the store. */
const MAXIMUM_OWNED_WAIT_MILLISECONDS = 60;

/**
 * Draws credit from the buckets in the store ahead of demand, which spares most requests a call to
 * the store; unused credit is returned or lapses. It serves the requests of this instance and, for
 * buckets that this instance owns, those of others.
 *
 * @example
 * const admission = await credits.acquire({ burst: 20, name: 'clerks', ratePerSecond: 10 }, signal);
 */
export class StoreCreditSource implements CreditSource, OwnedCredit {
  private readonly bucketStates = new Map<string, BucketState>();
  private storeClock: { readonly storeTime: number; readonly monotonicTime: number } | undefined;

  public constructor(private readonly dependencies: StoreCreditSourceDependencies) {}

  public isOverRate(bucket: NamedRateLimit): boolean {
    return this.bucketStates.get(bucket.name)?.credit.isOverRate === true;
  }

  public async acquire(
    bucket: NamedRateLimit,
    signal: AbortSignal,
  ): Promise<Result<RateAdmission, ZincringError>> {
    const state = this.findOrAddBucketState(bucket);
    const { credit } = state;
    credit.recordDemand();
    if (credit.tryAcquire()) {
      this.drawIfDue(state);
      return Ok(createAdmission(credit));
    }
    if (credit.deniedUntil > this.dependencies.timers.now()) {
      return Err(this.createRateLimitedError(credit));
    }
    const outcome = this.dependencies.table.isUnavailable
      ? 'unknown'
      : await this.waitForCredit(state, CREDIT_TIMEOUT_MILLISECONDS, signal);
    switch (outcome) {
      case 'granted':
        return Ok(createAdmission(credit));
      case 'denied':
        return Err(this.createRateLimitedError(credit));
      case 'unknown':
        return Err(
          new ZincringError('store-unavailable', {
            detail: 'the use of the workspace is not known',
            retryAfterSeconds: this.dependencies.table.retryAfterSeconds,
          }),
        );
    }
  }

  public async acquireOwned(bucket: NamedRateLimit): Promise<OwnedCreditReply> {
    const state = this.findOrAddBucketState(bucket);
    const { credit } = state;
    credit.recordDemand();
    if (credit.tryAcquire()) {
      this.drawIfDue(state);
      return { isOverRate: credit.isOverRate, kind: 'granted' };
    }
    if (this.dependencies.table.isUnavailable) {
      return { kind: 'without-store' };
    }
    const isDenied = credit.deniedUntil > this.dependencies.timers.now();
    const outcome = isDenied
      ? 'denied'
      : await this.waitForCredit(
          state,
          MAXIMUM_OWNED_WAIT_MILLISECONDS,
          new AbortController().signal,
        );
    const { isOverRate } = credit;
    if (outcome === 'granted') {
      return { isOverRate, kind: 'granted' };
    }
    const retryAfterMilliseconds = this.computeRetryAfterMilliseconds(credit);
    return credit.deniedUntil > this.dependencies.timers.now()
      ? { isOverRate, kind: 'denied', retryAfterMilliseconds }
      : { isOverRate, kind: 'pending' };
  }

  private findOrAddBucketState(limit: NamedRateLimit): BucketState {
    const { name } = limit;
    const existing = this.bucketStates.get(name);
    if (existing !== undefined) {
      existing.credit.limit = limit;
      return existing;
    }
    const state: BucketState = {
      address: { key: name, partition: `${RATE_TABLE}-${name}`, table: RATE_TABLE },
      drawAheadAllowedAt: -Infinity,
      credit: new WorkspaceCredit(this.dependencies.timers, limit),
      isDrawing: false,
      rowReadAt: -Infinity,
      row: absentRow,
    };
    this.bucketStates.set(name, state);
    return state;
  }

  private async waitForCredit(
    state: BucketState,
    timeoutMilliseconds: number,
    signal: AbortSignal,
  ): Promise<CreditOutcome> {
    const { credit } = state;
    return await new Promise(resolve => {
      const settle = (outcome: CreditOutcome): void => {
        timeout.stop();
        signal.removeEventListener('abort', stopOnTimeoutOrAbort);
        resolve(outcome);
      };
      const removeWaiter = credit.addWaiter(settle);
      const stopOnTimeoutOrAbort = (): void => {
        removeWaiter();
        settle(credit.isOverRate ? 'denied' : 'unknown');
      };
      const timeout = this.dependencies.timers.after(timeoutMilliseconds, stopOnTimeoutOrAbort);
      signal.addEventListener('abort', stopOnTimeoutOrAbort, { once: true });
      this.drawIfDue(state);
    });
  }

  private drawIfDue(state: BucketState): void {
    const { credit } = state;
    const now = this.dependencies.timers.now();
    const isDue = credit.waiting > 0 || (credit.needsCredit && state.drawAheadAllowedAt <= now);
    if (isDue && credit.deniedUntil <= now) {
      this.startDraw(state);
    }
  }

  private startDraw(state: BucketState): void {
    if (state.isDrawing) {
      return;
    }
    state.isDrawing = true;
    state.drawAheadAllowedAt = this.dependencies.timers.now() + DRAW_AHEAD_INTERVAL_MILLISECONDS;
    void this.draw(state).finally(() => {
      state.isDrawing = false;
    });
  }

  private async draw(state: BucketState): Promise<void> {
    const { credit } = state;
    let sentAt = readClocks(this.dependencies.timers);
    const { storeValidMilliseconds } = credit;
    let unspentWhenSent = credit.unspent;
    const edited = await editRow<CreditGrant>(
      this.dependencies.table,
      this.dependencies.timers,
      state.address,
      state.row,
      (row, storeTime) => {
        this.recordStoreTime(storeTime);
        // If the edit is retried, the write that takes effect is the last one sent.
        sentAt = readClocks(this.dependencies.timers);
        unspentWhenSent = credit.unspent;
        const grant = this.computeGrant(parseBucket(row.value), credit, storeValidMilliseconds);
        if (!grant.isChanged) {
          return { result: grant, kind: 'leave' };
        }
        const value = Buffer.from(JSON.stringify(grant.bucket));
        return { result: grant, kind: 'write', value };
      },
      {
        maximumFailures: MAXIMUM_STORE_FAILURES,
        readsFirst: this.dependencies.timers.now() - state.rowReadAt > ROW_FRESHNESS_MILLISECONDS,
        random: this.dependencies.random,
        signal: new AbortController().signal,
      },
    );
    if (edited.err) {
      state.row = absentRow;
      this.dependencies.logger.warn(
        { event: 'credit-unknown', failure: edited.val.message, workspace: state.address.key },
        'could not draw rate credit from the store',
      );
      credit.settleWaiters('unknown');
      return;
    }
    state.row = edited.val.row;
    state.rowReadAt = this.dependencies.timers.now();
    this.recordStoreTime(edited.val.storeTime);
    const spentSinceRequest = Math.max(0, unspentWhenSent - credit.unspent);
    credit.recordRateUse(edited.val.result.isOverRate);
    const { held, immediate, isChanged } = edited.val.result;
    if (isChanged) {
      credit.applyGrant(held, spentSinceRequest, { sentAt, storeValidMilliseconds });
    }
    const isInTime =
      elapsedSince(this.dependencies.timers, sentAt) < IMMEDIATE_GRANT_MILLISECONDS / 2;
    credit.serveWaiters(isInTime ? immediate : 0);
    this.retryOrDenyWaiters(state);
  }

  private computeGrant(
    bucket: WorkspaceBucket | undefined,
    credit: WorkspaceCredit,
    validMilliseconds: number,
  ): CreditGrant {
    return grantCredit(bucket, credit.limit, {
      holder: this.dependencies.holder,
      confirmedCredit: credit.confirmedCredit,
      storeTime: this.estimateStoreTime(bucket?.updatedAt ?? 0),
      unspent: credit.unspent,
      validMilliseconds,
      waiting: credit.waiting,
      requestedAhead: credit.requestedAhead,
    });
  }

  /** Schedules another draw for the waiters if the bucket refills in time, and denies them otherwise. */
  private retryOrDenyWaiters(state: BucketState): void {
    const { credit } = state;
    if (credit.waiting === 0) {
      return;
    }
    const { ratePerSecond } = credit.limit;
    const refillMilliseconds = (1_000 * credit.waiting) / ratePerSecond;
    const retryDelayMilliseconds = Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, refillMilliseconds);
    if (
      credit.longestWaitMilliseconds + retryDelayMilliseconds <=
      MAXIMUM_REFILL_WAIT_MILLISECONDS
    ) {
      this.dependencies.timers.after(retryDelayMilliseconds, () => {
        this.drawIfDue(state);
      });
      return;
    }
    const { maximum, minimum } = DENIAL_BOUNDS_MILLISECONDS;
    const denialMilliseconds = Math.min(maximum, Math.max(minimum, refillMilliseconds));
    credit.deniedUntil = this.dependencies.timers.now() + denialMilliseconds;
    this.dependencies.logger.info(
      {
        denied: denialMilliseconds,
        event: 'rate-exhausted',
        unserved: credit.waiting,
        workspace: state.address.key,
      },
      'workspace is over its rate; denying requests',
    );
    credit.settleWaiters('denied');
  }

  private createRateLimitedError(credit: WorkspaceCredit): ZincringError {
    const retryAfterSeconds = this.computeRetryAfterMilliseconds(credit) / 1_000;
    return new ZincringError('rate-limited', { retryAfterSeconds });
  }

  private computeRetryAfterMilliseconds(credit: WorkspaceCredit): number {
    const waitMilliseconds = Math.max(credit.deniedUntil - this.dependencies.timers.now(), 0);
    return Math.ceil(waitMilliseconds + 1_000 / credit.limit.ratePerSecond);
  }
  /** Lower bound of the current time on the store's clock, in milliseconds. */
  private estimateStoreTime(minimumStoreTime: number): number {
    if (this.storeClock === undefined) {
      return minimumStoreTime;
    }
    const elapsedMilliseconds = this.dependencies.timers.now() - this.storeClock.monotonicTime;
    return Math.max(minimumStoreTime, this.storeClock.storeTime + elapsedMilliseconds);
  }

  private recordStoreTime(storeTime: number | undefined): void {
    if (storeTime !== undefined) {
      this.storeClock = { monotonicTime: this.dependencies.timers.now(), storeTime };
    }
  }
}

function createAdmission(credit: WorkspaceCredit): RateAdmission {
  return {
    refund: () => {
      credit.refund();
    },
  };
}

/** Reads a stored bucket; throws if the row holds none, since a guess could exceed the rate. */
function parseBucket(value: Buffer | undefined): WorkspaceBucket | undefined {
  if (value === undefined) {
    return undefined;
  }
  const bucket: unknown = JSON.parse(value.toString());
  const { held, tokens, updatedAt } = toFields(bucket);
  const requests = Object.values(toFields(held)).map(credit => toFields(credit)['requests']);
  if (
    !isNumber(tokens) ||
    !isNumber(updatedAt) ||
    held === undefined ||
    !requests.every(isNumber)
  ) {
    throw new TypeError('the row holds no bucket');
  }
  return bucket as WorkspaceBucket;
}
