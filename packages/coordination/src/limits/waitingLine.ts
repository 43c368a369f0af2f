import type { Admittance } from './limiter.js';

interface WaitingRequest {
  readonly deadline: number;
  readonly resolve: (admittance: Admittance) => void;
}

/** Least time after which a refused request may come again, in milliseconds. */
export const LEAST_RETRY_MILLISECONDS = 100;

/** Requests of one workspace that wait for a token, in the order of their arrival. */
export class WaitingLine {
  private waiting: WaitingRequest[] = [];

  /** Number of requests that wait. */
  public get size(): number {
    return this.waiting.length;
  }

  /** The first moment at which a request can wait no longer. */
  public get firstDeadline(): number {
    return this.waiting.reduce(
      (first, each) => Math.min(first, each.deadline),
      Number.POSITIVE_INFINITY,
    );
  }

  /** Waits until the request is granted or refused. */
  public async join(deadline: number): Promise<Admittance> {
    return await new Promise(resolve => {
      this.waiting.push({ deadline, resolve });
    });
  }

  /** Grants the request that has waited longest. */
  public grantFirst(): void {
    this.waiting.shift()?.resolve({ status: 'granted' });
  }

  /**
   * Refuses every request whose token would come too late.
   *
   * @param expectedAt when the token of a place in the line can be expected
   */
  public refuseHopeless(now: number, expectedAt: (place: number) => number): void {
    const staying: WaitingRequest[] = [];
    const refused: [WaitingRequest, number][] = [];
    for (const request of this.waiting) {
      const moment = expectedAt(staying.length);
      if (moment <= request.deadline && now < request.deadline) {
        staying.push(request);
      } else {
        refused.push([request, moment - now]);
      }
    }
    this.waiting = staying;
    for (const [request, milliseconds] of refused) {
      request.resolve({
        retryMilliseconds: Math.max(LEAST_RETRY_MILLISECONDS, milliseconds),
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
