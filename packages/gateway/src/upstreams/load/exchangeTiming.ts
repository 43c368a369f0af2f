import type { TimerService } from '@zincring/core';
import type { ServiceCosts } from '@zincring/scheduling';

import type { TimedRequest } from './replicaCosts.js';

/** Ratio as which an answer that reports a failure counts: the request has to be sent again. */
const FAILURE_RATIO = 4;
const LOWEST_FAILURE_STATUS = 500;
/** Time that forwarding an event may take before the stream counts as held up by its caller, in milliseconds. */
const HELD_UP_MILLISECONDS = 5;
/** Number of events after which the pace of a stream is measured before its end, so that a slow replica is noticed. */
const EARLY_EVENTS = 3;

/**
 * Measures one exchange with a replica: the time to the first event, the pace of the events after it,
 * or the time of a call. Of streams without a prompt only the time to the first event counts. Streams that their caller reads slowly say nothing about the replica.
 *
 * @example
 * const timing = new ExchangeTiming(timers, costs, request, ratio => slowness.record(ratio));
 * timing.recordEvent();
 * timing.complete();
 */
export class ExchangeTiming {
  private readonly beganAt: number;
  private events = 0;
  private firstEventAt = 0;
  private lastEventAt = 0;
  private isHeldUp = false;

  public constructor(
    private readonly timers: TimerService,
    private readonly costs: ServiceCosts,
    private readonly request: TimedRequest,
    /** Called with each measured time over that of the service. */
    private readonly onRatio: (ratio: number) => void,
  ) {
    this.beganAt = timers.now();
  }

  /** Records the arrival of an event. */
  public recordEvent(): void {
    this.lastEventAt = this.timers.now();
    if (this.events++ > 0) {
      if (this.events === EARLY_EVENTS && !this.isHeldUp) {
        this.tellPace();
      }
      return;
    }
    this.firstEventAt = this.lastEventAt;
    const { prompt } = this.request;
    if (prompt !== undefined) {
      const elapsed = this.firstEventAt - this.beganAt;
      this.costs.recordFirstEvent(elapsed, prompt, this.firstEventAt);
    }
  }

  /** Records that the last event has been forwarded. */
  public recordForwarded(): void {
    if (this.timers.now() - this.lastEventAt > HELD_UP_MILLISECONDS) {
      this.isHeldUp = true;
    }
  }

  /** Records the status of the answer; one that reports a failure of the replica counts against it. */
  public recordStatus(status: number): void {
    if (status >= LOWEST_FAILURE_STATUS) {
      this.onRatio(FAILURE_RATIO);
    }
  }

  /** Records the end of a complete answer. */
  public complete(): void {
    const now = this.timers.now();
    const { kind, prompt } = this.request;
    if (prompt === undefined) {
      const answeredAt = this.events === 0 ? now : this.firstEventAt;
      this.tell(this.costs.recordCall(kind, answeredAt - this.beganAt, now));
      return;
    }
    if (this.isHeldUp || this.events < 2) {
      return;
    }
    this.costs.recordTurn(this.lastEventAt - this.beganAt, now);
    this.tellPace();
  }

  /** Records that the exchange was given up; it says something only if it took longer than usual. */
  public abandon(): void {
    if (this.events > 0) {
      return;
    }
    const now = this.timers.now();
    const { kind, prompt } = this.request;
    const usual =
      prompt === undefined
        ? this.costs.expectCall(kind, now)
        : this.costs.expectFirstEvent(prompt, now);
    if (usual !== undefined && now - this.beganAt > usual) {
      this.onRatio((now - this.beganAt) / usual);
    }
  }

  private tellPace(): void {
    const gap = (this.lastEventAt - this.firstEventAt) / (this.events - 1);
    this.tell(this.costs.recordEventGap(gap, this.lastEventAt));
  }

  private tell(ratio: number | undefined): void {
    if (ratio !== undefined && ratio > 0) {
      this.onRatio(ratio);
    }
  }
}
