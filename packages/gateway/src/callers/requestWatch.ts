import type { TimerService, TimerSubscription } from '@zincring/core';

import type { GatewayRoute } from '../configuration/gatewayConfiguration.js';
import type { RequestControl } from '../upstreams/attemptLoop.js';
import type { RequestFacts } from './requestFacts.js';

/** The part of a request that {@link RequestWatch} needs. */
export interface WatchedRequest {
  readonly facts: RequestFacts;
  /** By the steady clock. */
  readonly receivedAt: number;
  onCallerLeft(listener: () => void): void;
}

/**
 * Ends a request at its deadline or when its caller leaves. An unsafe request that is under way
 * when its caller leaves goes on, since its effect cannot be taken back.
 *
 * @example
 * const watch = new RequestWatch(timers, incoming, route);
 */
export class RequestWatch implements RequestControl {
  /** When the caller must have its answer, by the steady clock. */
  public readonly deadline: number;
  /** When the headers of the request had arrived, by the steady clock. */
  public readonly receivedAt: number;
  private readonly controller = new AbortController();
  private readonly limit: TimerSubscription;
  private hasLeft = false;
  private waitedMilliseconds = 0;

  public constructor(timers: TimerService, request: WatchedRequest, route: GatewayRoute) {
    const wait = Math.min(
      route.timeoutMilliseconds,
      request.facts.remainingMilliseconds ?? route.timeoutMilliseconds,
    );
    this.receivedAt = request.receivedAt;
    this.deadline = request.receivedAt + wait;
    this.limit = timers.after(this.deadline - timers.now(), () => {
      this.controller.abort();
    });
    request.onCallerLeft(() => {
      this.hasLeft = true;
      if (route.kind !== 'unsafe') {
        this.controller.abort();
      }
    });
  }

  public get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Time from the headers of the request to its first attempt, in whole milliseconds. */
  public get waited(): number {
    return this.waitedMilliseconds;
  }

  /** Takes in that nothing keeps the request from its first attempt. */
  public noteAdmitted(now: number): void {
    this.waitedMilliseconds = Math.round(now - this.receivedAt);
  }

  public isAwaited(): boolean {
    return !this.hasLeft;
  }

  /** Releases the timer. */
  public stop(): void {
    this.limit.stop();
  }
}
