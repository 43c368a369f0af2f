import type { AdmissionDecision } from './limiter.js';

interface WaitingRequest {
  readonly deadline: number;
  readonly resolve: (decision: AdmissionDecision) => void;
}

/** Minimum time after which a refused request may be retried, in milliseconds. */
export const MINIMUM_RETRY_MILLISECONDS = 100;

/** Queue of the requests of one workspace that wait for a token, in order of arrival. */
export class WaitQueue {
  private waiting: WaitingRequest[] = [];

  /** Number of waiting requests. */
  public get size(): number {
    return this.waiting.length;
  }

  /** Earliest deadline of a waiting request; infinite if none waits. */
  public get earliestDeadline(): number {
    return this.waiting.reduce(
      (earliest, each) => Math.min(earliest, each.deadline),
      Number.POSITIVE_INFINITY,
    );
  }

  /** Adds a request and waits until it is granted or refused. */
  public async enqueue(deadline: number): Promise<AdmissionDecision> {
    return await new Promise(resolve => {
      this.waiting.push({ deadline, resolve });
    });
  }

  /** Grants the request that has waited longest. */
  public grantFirst(): void {
    this.waiting.shift()?.resolve({ status: 'granted' });
  }

  /**
   * Refuses every request whose token is expected after its deadline.
   *
   * @param expectedAt returns the time at which the token of a position in the queue is expected
   */
  public refuseLate(now: number, expectedAt: (position: number) => number): void {
    const remaining: WaitingRequest[] = [];
    const refused: [WaitingRequest, number][] = [];
    for (const request of this.waiting) {
      const expectedTime = expectedAt(remaining.length);
      if (expectedTime <= request.deadline && now < request.deadline) {
        remaining.push(request);
      } else {
        refused.push([request, expectedTime - now]);
      }
    }
    this.waiting = remaining;
    for (const [request, waitMilliseconds] of refused) {
      request.resolve({
        retryMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, waitMilliseconds),
        status: 'refused',
      });
    }
  }

  /** Refuses every request. */
  public refuseAll(retryMilliseconds: number): void {
    const refused = this.waiting;
    this.waiting = [];
    for (const request of refused) {
      request.resolve({ retryMilliseconds, status: 'refused' });
    }
  }
}
