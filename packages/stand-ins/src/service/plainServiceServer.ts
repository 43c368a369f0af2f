import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { StandInHandler, StandInRequest } from '../util/jsonServer.js';

import { readJson, sendJson } from '../util/jsonServer.js';

/** Behaviour of a {@link PlainServiceServer} towards the next requests. */
export interface PlainServiceBehaviour {
  /** Delay before the side effect, in milliseconds. */
  readonly delayBeforeMilliseconds: number;
  /** Delay between the side effect and the response, in milliseconds. */
  readonly delayAfterMilliseconds: number;
  /** Number of next requests that take effect but whose response is lost. */
  readonly lostAnswers: number;
  /** Number of next requests that fail without effect. */
  readonly errors: number;
  /** Whether requests are not executed and get no response. */
  readonly isHanging: boolean;
}

/** A request that took effect. */
export interface Execution {
  /** The idempotency key of the request. */
  readonly call: string;
  readonly path: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

const initialBehaviour: PlainServiceBehaviour = {
  delayAfterMilliseconds: 0,
  delayBeforeMilliseconds: 0,
  errors: 0,
  isHanging: false,
  lostAnswers: 0,
};

/** A service whose calls have side effects; records every execution, so tests can count them. */
export class PlainServiceServer {
  private behaviour = initialBehaviour;
  private readonly executions: Execution[] = [];

  public constructor(private readonly timers: TimerService) {}

  /**
   * Executes a request to any path, except the routes under `/stand-in/` that control the stand-in.
   */
  public readonly handle: StandInHandler = async (request, response) => {
    if (request.url.pathname === '/stand-in/behaviour') {
      this.behaviour = { ...this.behaviour, ...readJson<Partial<PlainServiceBehaviour>>(request) };
      return sendJson(response, 200, {});
    }
    if (request.url.pathname === '/stand-in/executions') {
      return sendJson(response, 200, { executions: this.executions });
    }
    if (this.behaviour.isHanging) {
      return true;
    }
    await sleep(this.timers, this.behaviour.delayBeforeMilliseconds);
    if (this.behaviour.errors > 0) {
      this.behaviour = { ...this.behaviour, errors: this.behaviour.errors - 1 };
      return sendJson(response, 500, { error: 'the work failed' });
    }
    const executionNumber = this.execute(request);
    await sleep(this.timers, this.behaviour.delayAfterMilliseconds);
    if (this.behaviour.lostAnswers > 0) {
      this.behaviour = { ...this.behaviour, lostAnswers: this.behaviour.lostAnswers - 1 };
      response.destroy();
      return true;
    }
    return sendJson(response, 200, { execution: executionNumber, path: request.url.pathname });
  };

  private execute(request: StandInRequest): number {
    this.executions.push({
      body: request.body.toString('utf8'),
      call: String(request.headers['idempotency-key'] ?? ''),
      headers: request.headers,
      path: `${request.method} ${request.url.pathname}${request.url.search}`,
    });
    return this.executions.length;
  }
}
