import type { TimerService } from '@zincring/core';

/** Interval at which the share of calls that are sent is adjusted, in milliseconds. */
const ADJUSTMENT_INTERVAL_MILLISECONDS = 250;
/** Share of refused calls above which fewer calls are sent. */
const TOLERATED_REFUSED_SHARE = 0.1;
/**
 * Factors by which the share of sent calls changes in one interval: `decrease` after refusals,
 * `increase` after each interval in a row without any.
 */
const SHARE_FACTORS = { decrease: 0.5, increase: [1.05, 1.2, 1.6, 2] };
/** Minimum share of calls that are sent, so that a store that refused all of them is still asked. */
const MINIMUM_SENT_SHARE = 0.1;

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
  /** Intervals in a row without a refused call. */
  private soundIntervals = 0;
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
    this.soundIntervals = refusedShare === 0 ? this.soundIntervals + 1 : 0;
    const factor = this.chooseFactor(refusedShare);
    this.sentShare = Math.min(1, Math.max(MINIMUM_SENT_SHARE, this.sentShare * factor));
    this.acceptedCalls = 0;
    this.refusedCalls = 0;
  }

  private chooseFactor(refusedShare: number): number {
    const { decrease, increase } = SHARE_FACTORS;
    if (refusedShare > TOLERATED_REFUSED_SHARE) {
      return decrease;
    }
    return increase[Math.min(this.soundIntervals, increase.length) - 1] ?? 1;
  }
}
