import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { StandInHandler, StandInRequest } from '../util/jsonServer.js';

import { readJson, sendJson } from '../util/jsonServer.js';

/** How the plain service treats the next requests. */
export interface PlainServiceBehaviour {
  /** Delay before the work takes effect, in milliseconds. */
  readonly delayBeforeMilliseconds: number;
  /** Delay between the effect and the answer, in milliseconds. */
  readonly delayAfterMilliseconds: number;
  /** How many of the next requests take effect without an answer. */
  readonly lostAnswers: number;
  /** How many of the next requests fail before the work is done. */
  readonly errors: number;
  /** Whether requests hang without effect. */
  readonly isHanging: boolean;
}

/** One request that took effect. */
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

/** A service whose work has side effects; it records every execution, so that tests can count. */
export class PlainServiceServer {
  private behaviour = initialBehaviour;
  private readonly executions: Execution[] = [];

  public constructor(private readonly timers: TimerService) {}

  /** Handles any path as work, and the switches under `/stand-in/`. */
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
    const number = this.execute(request);
    await sleep(this.timers, this.behaviour.delayAfterMilliseconds);
    if (this.behaviour.lostAnswers > 0) {
      this.behaviour = { ...this.behaviour, lostAnswers: this.behaviour.lostAnswers - 1 };
      response.destroy();
      return true;
    }
    return sendJson(response, 200, { execution: number, path: request.url.pathname });
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
