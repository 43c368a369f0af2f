import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { GatewayTimes } from './gatewayOptions.js';

/** Steps of a planned stop, in their order. */
export interface PlannedStopSteps {
  /** Waits for a start that is still under way. */
  finishStart(): Promise<void>;
  /** Tells the load balancer, the callers and the other instances that this instance leaves. */
  announce(): void;
  /** Closes the connections of callers that are idle, and each further one once it is. */
  closeIdleConnections(): void;
  /** Stops listening and waits until all callers are answered or the timeout has passed. */
  finishCallers(timeoutMilliseconds: number): Promise<void>;
  /** Waits until no request of other instances is relayed or the timeout has passed. */
  finishRelays(timeoutMilliseconds: number): Promise<void>;
  /** Ends the requests in flight, each with the response that its state allows. */
  interrupt(): Promise<void>;
  /** Gives back what this instance holds in the store and closes everything else. */
  release(): Promise<void>;
}

/** Times of a {@link PlannedStop}. */
export type PlannedStopTimes = Pick<
  GatewayTimes,
  'acceptingMilliseconds' | 'noticeMilliseconds' | 'stopMilliseconds'
>;

/**
 * The planned stop of an instance. Requests are accepted after it has begun only if their time ends before the
 * instance has to.
 *
 * @example
 * const plannedStop = new PlannedStop(timers, times);
 * await plannedStop.run(steps);
 */
export class PlannedStop {
  private completion: Promise<void> | undefined;
  /** Time at which requests in flight are interrupted, on the monotonic clock in milliseconds. */
  private endsAt = Infinity;

  public constructor(
    private readonly timers: TimerService,
    private readonly times: PlannedStopTimes,
  ) {}

  /** Whether the stop has been requested. */
  public get isBegun(): boolean {
    return this.completion !== undefined;
  }

  /** Whether a request with this deadline has all of its time before the instance ends. */
  public allows(deadline: number): boolean {
    return deadline <= this.endsAt;
  }

  /** Takes the steps once, however often it is called; resolves after the last one. */
  public async run(steps: PlannedStopSteps): Promise<void> {
    this.completion ??= this.perform(steps);
    await this.completion;
  }

  private async perform(steps: PlannedStopSteps): Promise<void> {
    const { acceptingMilliseconds, noticeMilliseconds, stopMilliseconds } = this.times;
    this.endsAt = this.timers.now() + stopMilliseconds;
    await steps.finishStart();
    steps.announce();
    await sleep(this.timers, noticeMilliseconds);
    steps.closeIdleConnections();
    await sleep(this.timers, acceptingMilliseconds - noticeMilliseconds);
    await steps.finishCallers(this.endsAt - this.timers.now());
    await steps.finishRelays(this.endsAt - this.timers.now());
    await steps.interrupt();
    await steps.release();
  }
}
