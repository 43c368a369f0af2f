import type { TimerService, TimerSubscription } from '@zincring/core';

import type { GatewayRoute } from '../configuration/gatewayConfiguration.js';
import type { RequestControl } from '../upstreams/attemptLoop.js';
import type { RequestFacts } from './requestFacts.js';

/** Properties of a request that {@link RequestLifetime} uses. */
export interface TimedRequest {
  readonly facts: RequestFacts;
  /** Time at which the headers had arrived, on the monotonic clock in milliseconds. */
  readonly receivedAt: number;
  /** Calls the listener if the caller closes its connection before the response is complete. */
  onCallerDisconnected(listener: () => void): void;
}

/**
 * Aborts a request at its deadline or when its caller disconnects. An unsafe request in flight
 * continues when its caller disconnects, since its effect cannot be undone.
 *
 * @example
 * const lifetime = new RequestLifetime(timers, incoming, route);
 */
export class RequestLifetime implements RequestControl {
  /** Deadline of the response, on the monotonic clock in milliseconds. */
  public readonly deadline: number;
  /** Time at which the headers had arrived, on the monotonic clock in milliseconds. */
  public readonly receivedAt: number;
  private readonly controller = new AbortController();
  private readonly deadlineTimer: TimerSubscription;
  private hasCallerDisconnected = false;
  private isStopInterruption = false;
  private recordedAdmissionMilliseconds = 0;

  public constructor(timers: TimerService, request: TimedRequest, route: GatewayRoute) {
    const timeoutMilliseconds = Math.min(
      route.timeoutMilliseconds,
      request.facts.remainingMilliseconds ?? route.timeoutMilliseconds,
    );
    this.receivedAt = request.receivedAt;
    this.deadline = request.receivedAt + timeoutMilliseconds;
    this.deadlineTimer = timers.after(this.deadline - timers.now(), () => {
      this.controller.abort();
    });
    request.onCallerDisconnected(() => {
      this.hasCallerDisconnected = true;
      if (route.kind !== 'unsafe') {
        this.controller.abort();
      }
    });
  }

  public get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Time from the headers of the request to its first attempt, rounded to milliseconds; 0 before that attempt. */
  public get admissionMilliseconds(): number {
    return this.recordedAdmissionMilliseconds;
  }

  /** Records the time at which the request is ready for its first attempt. */
  public recordAdmission(now: number): void {
    this.recordedAdmissionMilliseconds = Math.round(now - this.receivedAt);
  }

  /** Whether the request was ended because the instance stops. */
  public get isInterrupted(): boolean {
    return this.isStopInterruption;
  }

  /** Aborts the request since the instance stops. */
  public interrupt(): void {
    this.isStopInterruption = !this.controller.signal.aborted;
    this.controller.abort();
  }

  public isCallerWaiting(): boolean {
    return !this.hasCallerDisconnected;
  }

  /** Cancels the deadline timer. */
  public stop(): void {
    this.deadlineTimer.stop();
  }
}
