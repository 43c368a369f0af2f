import type { TimerService } from '@zincring/core';

import type { GatewayRoute } from '../configuration/gatewayConfiguration.js';
import type { TimedRequest } from './requestLifetime.js';

import { RequestLifetime } from './requestLifetime.js';

/**
 * The lifetimes of the requests in flight.
 *
 * @example
 * const lifetime = lifetimes.begin(incoming, route);
 * lifetimes.end(lifetime);
 */
export class RequestLifetimes {
  private readonly inFlight = new Set<RequestLifetime>();

  public constructor(private readonly timers: TimerService) {}

  /** Begins the lifetime of a request. */
  public begin(request: TimedRequest, route: GatewayRoute): RequestLifetime {
    const lifetime = new RequestLifetime(this.timers, request, route);
    this.inFlight.add(lifetime);
    return lifetime;
  }

  /** Ends the lifetime of a request that has its response. */
  public end(lifetime: RequestLifetime): void {
    lifetime.stop();
    this.inFlight.delete(lifetime);
  }

  /** Interrupts all requests in flight. */
  public interruptAll(): void {
    this.inFlight.forEach(lifetime => {
      lifetime.interrupt();
    });
  }
}
