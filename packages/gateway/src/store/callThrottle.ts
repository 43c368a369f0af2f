import type { TimerService } from '@zincring/core';

/** Interval at which the share of calls that are sent is adjusted, in milliseconds. */
const ADJUSTMENT_INTERVAL_MILLISECONDS = 250;
/** Share of refused calls above which fewer calls are sent. */
const TOLERATED_REFUSED_SHARE = 0.2;
/** Factors by which the share of sent calls falls and rises in one interval. */
const SHARE_FACTORS = { decrease: 0.6, increase: 1.3 };
/** Minimum share of calls that are sent, so that a store that refused all of them is still asked. */
const MINIMUM_SENT_SHARE = 0.05;

/**
 * Holds back a share of the calls while the store refuses them by its rate. Calls that the store
 * refuses cost as much as others, and all instances share its rate. The share falls while more than a
 * few calls are refused and recovers within seconds otherwise.
 *
 * @example
 * if (throttle.allowsCall(random())) { throttle.recordOutcome(isRefusedByRate(await send())); }
 */
export class CallThrottle {
  private sentShare = 1;
  private acceptedCalls = 0;
  private refusedCalls = 0;
  private adjustedAt: number;

  public constructor(private readonly timers: TimerService) {
    this.adjustedAt = timers.now();
  }

  /** Returns whether to send a call; `point` is a random number from 0 to 1. */
  public allowsCall(point: number): boolean {
    return point < this.sentShare || this.sentShare === 1;
  }

  /** Records whether the store refused a call by its rate. */
  public recordOutcome(isRefused: boolean): void {
    if (isRefused) {
      this.refusedCalls++;
    } else {
      this.acceptedCalls++;
    }
    const now = this.timers.now();
    if (now - this.adjustedAt >= ADJUSTMENT_INTERVAL_MILLISECONDS) {
      this.adjustShare();
      this.adjustedAt = now;
    }
  }

  private adjustShare(): void {
    const refusedShare = this.refusedCalls / (this.refusedCalls + this.acceptedCalls);
    const factor =
      refusedShare > TOLERATED_REFUSED_SHARE ? SHARE_FACTORS.decrease : SHARE_FACTORS.increase;
    this.sentShare = Math.min(1, Math.max(MINIMUM_SENT_SHARE, this.sentShare * factor));
    this.acceptedCalls = 0;
    this.refusedCalls = 0;
  }
}
