import type { TimerService } from '@zincring/core';

import type { ClockReading } from '../configuration/contactAge.js';
import type { RateLimit } from './workspaceBucket.js';

import { elapsedSince } from '../configuration/contactAge.js';
import { computeMaximumOutstanding } from './workspaceBucket.js';

/** Outcome of a wait for credit; `unknown` if the store did not answer in time. */
export type CreditOutcome = 'denied' | 'granted' | 'unknown';

/** Time for which a workspace counts as over its rate after a grant showed it, in milliseconds: about the run time of a program. */
const OVER_RATE_MILLISECONDS = 2_000;

/** Time at which a grant was requested, and time for which the store counts it, in milliseconds. */
export interface GrantTimes {
  readonly sentAt: ClockReading;
  readonly storeValidMilliseconds: number;
}

interface CreditWaiter {
  readonly settle: (outcome: CreditOutcome) => void;
  /** Start of the wait on the monotonic clock, in milliseconds. */
  readonly waitingSince: number;
}

/** Time for which a holder uses its credit at low and at steady demand, and additional time for which the store counts it. */
const CREDIT_VALIDITY_MILLISECONDS = { storeMargin: 1_400, lowDemand: 2_000, steadyDemand: 4_000 };
/** Time constant of the demand estimate, in milliseconds: a few times the pause in which a program runs its tools. */
const DEMAND_TIME_CONSTANT_MILLISECONDS = 3_000;
/** Seconds of demand for which credit is requested ahead: longer than the interval between draws, shorter than credit is valid. */
const REQUEST_AHEAD_SECONDS = 2;
/** Demand below which drawing credit ahead costs more store calls than it saves, in requests per second. */
const LOW_DEMAND_PER_SECOND = 0.4;
/** Share of the requested credit below which more is drawn ahead of demand. */
const LOW_CREDIT_SHARE = 0.25;
/** Maximum credit that a draw at low demand adds for the next calls of the same program, in requests. */
const MAXIMUM_EXTRA_CREDIT = 3;
/** Share of the maximum outstanding requests of a bucket that this extra credit may reach. */
const EXTRA_CREDIT_SHARE = 0.1;

/** Credit that this instance holds from one bucket, and the demand that it sees there. */
export class WorkspaceCredit {
  /** Credit after the last grant that the store answered. */
  public confirmedCredit = 0;
  private lastOverRateAt = -Infinity;
  /** Time until which requests are denied without a call to the store, on the monotonic clock, in milliseconds. */
  public deniedUntil = -Infinity;
  private unspentCredit = 0;
  private grantRequestedAt: ClockReading | undefined;
  private validMilliseconds = CREDIT_VALIDITY_MILLISECONDS.lowDemand;
  private demandPerSecond = 0;
  private demandUpdatedAt: number;
  private waiters: CreditWaiter[] = [];

  public constructor(
    private readonly timers: TimerService,
    public limit: RateLimit,
  ) {
    this.demandUpdatedAt = timers.now();
  }

  /** Credit that may be spent now, in requests. */
  public get unspent(): number {
    return this.isValid() ? this.unspentCredit : 0;
  }

  /** Whether the workspace recently used more than its rate. */
  public get isOverRate(): boolean {
    return this.timers.now() - this.lastOverRateAt < OVER_RATE_MILLISECONDS;
  }

  /** Number of requests that are waiting for credit. */
  public get waiting(): number {
    return this.waiters.length;
  }

  /** Credit to request ahead of demand, in requests. */
  public get requestedAhead(): number {
    const demandPerSecond = this.estimateDemandPerSecond();
    return demandPerSecond < LOW_DEMAND_PER_SECOND
      ? this.computeExtraCredit()
      : Math.ceil(demandPerSecond * REQUEST_AHEAD_SECONDS);
  }

  /** Time for which the store counts a grant made now, in milliseconds; its holder uses it for a shorter time. */
  public get storeValidMilliseconds(): number {
    return this.chooseValidityMilliseconds() + CREDIT_VALIDITY_MILLISECONDS.storeMargin;
  }

  /** Whether requests are waiting or the credit for steady demand runs low. */
  public get needsCredit(): boolean {
    const isSteady = this.estimateDemandPerSecond() >= LOW_DEMAND_PER_SECOND;
    return this.waiting > 0 || (isSteady && this.unspent < this.requestedAhead * LOW_CREDIT_SHARE);
  }

  /** Counts a request in the demand estimate. */
  public recordDemand(): void {
    this.demandPerSecond =
      this.estimateDemandPerSecond() + 1_000 / DEMAND_TIME_CONSTANT_MILLISECONDS;
    this.demandUpdatedAt = this.timers.now();
  }

  /** Spends credit for one request and returns whether there was any. */
  public tryAcquire(): boolean {
    if (this.unspent < 1) {
      return false;
    }
    this.unspentCredit--;
    return true;
  }

  /** Returns the credit of a request that did not run. */
  public refund(): void {
    if (this.isValid()) {
      this.unspentCredit++;
    }
  }

  /** Time for which the oldest waiter has waited, in milliseconds. */
  public get longestWaitMilliseconds(): number {
    const [firstWaiter] = this.waiters;
    return firstWaiter === undefined ? 0 : this.timers.now() - firstWaiter.waitingSince;
  }

  /** Adds a waiter, which is called with the outcome unless the returned function removes it first. */
  public addWaiter(settle: (outcome: CreditOutcome) => void): () => void {
    const waiter = { settle, waitingSince: this.timers.now() };
    this.waiters.push(waiter);
    return () => {
      this.waiters = this.waiters.filter(each => each !== waiter);
    };
  }

  /** Records whether the workspace uses more than its rate. */
  public recordRateUse(isOverRate: boolean): void {
    if (isOverRate) {
      this.lastOverRateAt = this.timers.now();
    }
  }

  /** Applies a grant; `spent` is the credit spent since the grant was requested. */
  public applyGrant(
    held: number,
    spent: number,
    { sentAt, storeValidMilliseconds }: GrantTimes,
  ): void {
    this.validMilliseconds = storeValidMilliseconds - CREDIT_VALIDITY_MILLISECONDS.storeMargin;
    this.confirmedCredit = held;
    this.unspentCredit = Math.max(0, held - spent);
    this.grantRequestedAt = sentAt;
  }

  /** Admits waiters in order of arrival: `immediate` of them from the grant itself, then more while there is credit. */
  public serveWaiters(immediate: number): void {
    for (const waiter of this.waiters.splice(0, immediate)) {
      waiter.settle('granted');
    }
    while (this.waiters.length > 0 && this.tryAcquire()) {
      this.waiters.shift()?.settle('granted');
    }
  }

  /** Ends the wait of all remaining waiters with the same outcome. */
  public settleWaiters(outcome: CreditOutcome): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) {
      waiter.settle(outcome);
    }
  }

  private chooseValidityMilliseconds(): number {
    return this.estimateDemandPerSecond() < LOW_DEMAND_PER_SECOND
      ? CREDIT_VALIDITY_MILLISECONDS.lowDemand
      : CREDIT_VALIDITY_MILLISECONDS.steadyDemand;
  }

  private computeExtraCredit(): number {
    const share = Math.round(computeMaximumOutstanding(this.limit) * EXTRA_CREDIT_SHARE);
    return Math.max(1, Math.min(MAXIMUM_EXTRA_CREDIT, share));
  }

  private estimateDemandPerSecond(): number {
    const elapsed = this.timers.now() - this.demandUpdatedAt;
    return this.demandPerSecond * Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MILLISECONDS);
  }

  private isValid(): boolean {
    return (
      this.grantRequestedAt !== undefined &&
      elapsedSince(this.timers, this.grantRequestedAt) < this.validMilliseconds
    );
  }
}
