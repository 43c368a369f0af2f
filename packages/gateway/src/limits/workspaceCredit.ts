import type { TimerService } from '@zincring/core';

import type { GatewayWorkspace } from '../configuration/gatewayConfiguration.js';
import type { Moment } from '../configuration/contactAge.js';

import { momentOf } from '../configuration/contactAge.js';

/** How a wait for credit ended. */
export type CreditAnswer = 'denied' | 'granted' | 'unknown';

/** How long credit is good at its holder, in milliseconds: shorter than the store counts it. */
const VALID_MILLISECONDS = 4_000;
/** Time constant of the estimate of demand, in milliseconds: a few tool pauses of a program. */
const DEMAND_MILLISECONDS = 3_000;
/** Time for which credit is wished ahead, in seconds: some pauses between draws, within the time that credit is good. */
const AHEAD_SECONDS = 2.2;
/** Demand below which no credit is wished ahead, in requests a second. */
const RARE_DEMAND = 0.15;

/** The credit that this instance holds of one workspace, and the demand that it sees. */
export class WorkspaceCredit {
  /** Credit at the last answer of the store. */
  public lastHeld = 0;
  /** Until when requests are refused without asking, by the steady clock. */
  public deniedUntil = -Infinity;
  private unspentCredit = 0;
  private grantedAt: Moment | undefined;
  private demand = 0;
  private demandAt: number;
  private waiters: ((answer: CreditAnswer) => void)[] = [];

  public constructor(
    private readonly timers: TimerService,
    public workspace: GatewayWorkspace,
  ) {
    this.demandAt = timers.now();
  }

  /** Credit that may be spent now. */
  public get unspent(): number {
    return this.isValid() ? this.unspentCredit : 0;
  }

  /** Requests that wait for credit. */
  public get waiting(): number {
    return this.waiters.length;
  }

  /** Credit worth holding for requests to come. */
  public get wished(): number {
    const demand = this.currentDemand();
    return demand < RARE_DEMAND ? 0 : Math.ceil(demand * AHEAD_SECONDS) + 1;
  }

  /** Whether a top-up is due. */
  public get needsCredit(): boolean {
    return this.waiting > 0 || this.unspent < Math.max(1, this.wished / 2);
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

  /** Calls the waiter once credit has come or was denied. */
  public wait(waiter: (answer: CreditAnswer) => void): void {
    this.waiters.push(waiter);
  }

  /** Takes in a grant; `spent` is what was spent since the request for it was made. */
  public receive(held: number, spent: number, sentAt: Moment): void {
    this.lastHeld = held;
    this.unspentCredit = Math.max(0, held - spent);
    this.grantedAt = sentAt;
  }

  /** Answers those who wait, first come first served. */
  public answerWaiters(otherwise: CreditAnswer): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) {
      waiter(this.take() ? 'granted' : otherwise);
    }
  }

  private currentDemand(): number {
    const elapsed = this.timers.now() - this.demandAt;
    return this.demand * Math.exp(-elapsed / DEMAND_MILLISECONDS);
  }

  private isValid(): boolean {
    if (this.grantedAt === undefined) {
      return false;
    }
    const now = momentOf(this.timers);
    const elapsed = Math.max(now.steady - this.grantedAt.steady, now.wall - this.grantedAt.wall);
    return elapsed < VALID_MILLISECONDS;
  }
}
