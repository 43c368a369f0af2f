import type { TimerService } from '@zincring/core';

import type { Moment } from '../configuration/contactAge.js';
import type { RateLimit } from './rateRow.js';

import { elapsedSince } from '../configuration/contactAge.js';
import { mostOutstanding } from './rateRow.js';

/** How a wait for credit ended. */
export type CreditAnswer = 'denied' | 'granted' | 'unknown';

/** How long a workspace counts as using more than its rate, in milliseconds: about the time that a program takes. */
const SCARCE_MILLISECONDS = 2_000;

/** When a grant was asked for, and how long the store counts it. */
export interface GrantTimes {
  readonly sentAt: Moment;
  readonly storeValidMilliseconds: number;
}

interface CreditWaiter {
  readonly answer: (answer: CreditAnswer) => void;
  /** By the steady clock. */
  readonly since: number;
}

/** How long credit is good at its holder, in milliseconds, and how much longer the store counts it. */
const VALIDITY = { margin: 1_400, rare: 2_000, steady: 4_000 };
/** Time constant of the estimate of demand, in milliseconds: a few tool pauses of a program. */
const DEMAND_MILLISECONDS = 3_000;
/** Time for which credit is wished ahead, in seconds: some pauses between draws, within the time that credit is good. */
const AHEAD_SECONDS = 2;
/** Demand below which a draw ahead of it costs more calls than it saves, in requests a second. */
const RARE_DEMAND = 0.4;
/** Part of the wished credit below which more is drawn ahead of demand. */
const LOW_SHARE = 0.25;
/** Most credit that a draw for rare requests brings for the calls that a program makes next. */
const LARGEST_BESIDE = 3;
/** Part of what bucket and credits may stand for together that such credit may be. */
const BESIDE_SHARE = 0.1;

/** The credit that this instance holds of one workspace, and the demand that it sees. */
export class WorkspaceCredit {
  /** Credit at the last answer of the store. */
  public lastHeld = 0;
  private scarceAt = -Infinity;
  /** Until when requests are refused without asking, by the steady clock. */
  public deniedUntil = -Infinity;
  private unspentCredit = 0;
  private grantedAt: Moment | undefined;
  private validMilliseconds = VALIDITY.rare;
  private demand = 0;
  private demandAt: number;
  private waiters: CreditWaiter[] = [];

  public constructor(
    private readonly timers: TimerService,
    public limit: RateLimit,
  ) {
    this.demandAt = timers.now();
  }

  /** Credit that may be spent now. */
  public get unspent(): number {
    return this.isValid() ? this.unspentCredit : 0;
  }

  /** Whether the workspace used more than its rate of late. */
  public get isScarce(): boolean {
    return this.timers.now() - this.scarceAt < SCARCE_MILLISECONDS;
  }

  /** Requests that wait for credit. */
  public get waiting(): number {
    return this.waiters.length;
  }

  /** Credit worth holding for requests to come. */
  public get wished(): number {
    const demand = this.currentDemand();
    return demand < RARE_DEMAND ? this.beside() : Math.ceil(demand * AHEAD_SECONDS);
  }

  /** How long the store is to count a grant made now, in milliseconds; its holder counts less. */
  public get storeValidMilliseconds(): number {
    return this.validityOfGrant() + VALIDITY.margin;
  }

  /** Whether a top-up is due. */
  public get needsCredit(): boolean {
    const isSteady = this.currentDemand() >= RARE_DEMAND;
    return this.waiting > 0 || (isSteady && this.unspent < this.wished * LOW_SHARE);
  }

  /** Counts a request in the estimate of demand. */
  public noteDemand(): void {
    this.demand = this.currentDemand() + 1_000 / DEMAND_MILLISECONDS;
    this.demandAt = this.timers.now();
  }

  /** Takes credit for one request if there is any. */
  public take(): boolean {
    if (this.unspent < 1) {
      return false;
    }
    this.unspentCredit--;
    return true;
  }

  /** Puts back the credit of a request that did not run. */
  public giveBack(): void {
    if (this.isValid()) {
      this.unspentCredit++;
    }
  }

  /** How long the first of those who wait has waited, in milliseconds. */
  public get longestWait(): number {
    const [first] = this.waiters;
    return first === undefined ? 0 : this.timers.now() - first.since;
  }

  /** Calls the listener once credit has come or was denied, unless the returned function ends the wait. */
  public wait(answer: (answer: CreditAnswer) => void): () => void {
    const waiter = { answer, since: this.timers.now() };
    this.waiters.push(waiter);
    return () => {
      this.waiters = this.waiters.filter(each => each !== waiter);
    };
  }

  /** Takes in whether the workspace uses more than its rate. */
  public noteUse(isScarce: boolean): void {
    if (isScarce) {
      this.scarceAt = this.timers.now();
    }
  }

  /** Takes in a grant; `spent` is what was spent since the request for it was made. */
  public receive(
    held: number,
    spent: number,
    { sentAt, storeValidMilliseconds }: GrantTimes,
  ): void {
    this.validMilliseconds = storeValidMilliseconds - VALIDITY.margin;
    this.lastHeld = held;
    this.unspentCredit = Math.max(0, held - spent);
    this.grantedAt = sentAt;
  }

  /** Serves those who wait, first come first served: as many as were granted at once, and more while there is credit. */
  public serveWaiters(immediate: number): void {
    for (const waiter of this.waiters.splice(0, immediate)) {
      waiter.answer('granted');
    }
    while (this.waiters.length > 0 && this.take()) {
      this.waiters.shift()?.answer('granted');
    }
  }

  /** Ends the wait of those who are left. */
  public dismissWaiters(answer: CreditAnswer): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) {
      waiter.answer(answer);
    }
  }

  private validityOfGrant(): number {
    return this.currentDemand() < RARE_DEMAND ? VALIDITY.rare : VALIDITY.steady;
  }

  private beside(): number {
    const share = Math.round(mostOutstanding(this.limit) * BESIDE_SHARE);
    return Math.max(1, Math.min(LARGEST_BESIDE, share));
  }

  private currentDemand(): number {
    const elapsed = this.timers.now() - this.demandAt;
    return this.demand * Math.exp(-elapsed / DEMAND_MILLISECONDS);
  }

  private isValid(): boolean {
    return (
      this.grantedAt !== undefined &&
      elapsedSince(this.timers, this.grantedAt) < this.validMilliseconds
    );
  }
}
