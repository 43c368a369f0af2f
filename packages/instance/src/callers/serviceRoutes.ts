import type { CallId, ServiceName, WorkspaceName } from '@zincring/core';
import type { Configuration, ServiceRule } from '@zincring/rules';
import type { ServerResponse } from 'node:http';

import { randomUUID } from 'node:crypto';

import { isIdentifier, Ok, ZincringError } from '@zincring/core';

import type { UpstreamDispatcher, UpstreamWork } from '../upstreams/upstreamMessages.js';

import { ForwardedResponse } from './forwardedResponse.js';
import { isSafeMethod } from '../util/isSafeMethod.js';
import { refuseMethod } from './refuseMethod.js';
import { untilAborted } from './untilAborted.js';

/** Service and method of a request whose body has not been read yet. */
export interface ServiceRouteTarget {
  readonly configuration: Configuration;
  readonly method: string;
  readonly service: ServiceName;
}

/** Service that accepts the method of the request. */
export interface PreparedService {
  readonly method: string;
  readonly rule: ServiceRule;
}

/** Request to a plain service outside a program. */
export interface ServiceRouteRequest extends PreparedService {
  /** Path and query at the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  /** Identifies the request at the service; unique within the workspace. */
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer;
  readonly workspace: WorkspaceName;
  /** Aborts when the caller's key is withdrawn. */
  readonly keyWithdrawn: AbortSignal;
}

/** Options of {@link ServiceRoutes}. */
export interface ServiceRoutesOptions {
  readonly dispatcher: UpstreamDispatcher;
  /** Maximum time that a caller may go without reading, in milliseconds. */
  readonly readerTimeoutMilliseconds: number;
}

const ALLOWED_METHODS = ['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'] as const;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Handles requests to plain services outside programs. */
export class ServiceRoutes {
  public constructor(private readonly options: ServiceRoutesOptions) {}

  /**
   * Checks service and method before the body is read; throws a `ZincringError` if either is
   * invalid.
   */
  public prepare(target: ServiceRouteTarget, response: ServerResponse): PreparedService {
    const rule = target.configuration.services.get(target.service);
    if (rule?.protocol !== 'plain') {
      throw new ZincringError('service-not-found');
    }
    refuseMethod(target.method, ALLOWED_METHODS, response);
    return { method: target.method, rule };
  }

  /** Handles one request. */
  public async handle(request: ServiceRouteRequest, response: ServerResponse): Promise<void> {
    const { idempotencyKey, rule } = request;
    if (idempotencyKey !== undefined && !isIdentifier(idempotencyKey)) {
      throw new ZincringError('bad-request', { detail: 'idempotency-key: not an identifier' });
    }
    const timeoutMilliseconds = rule.timeoutSeconds * 1_000;
    const isIdempotent = rule.idempotent || isSafeMethod(request.method);
    const callerDisconnected = new AbortController();
    response.once('close', () => {
      callerDisconnected.abort();
    });
    const timeout = AbortSignal.timeout(timeoutMilliseconds);
    const work: UpstreamWork = {
      attainedTokens: 0,
      beforeSend: async () => Promise.resolve(Ok(undefined)),
      call: (idempotencyKey ?? randomUUID()) as CallId,
      isIdempotent,
      payload: {
        body: request.body,
        contentType: request.contentType ?? DEFAULT_CONTENT_TYPE,
        method: request.method,
        path: request.path,
        protocol: 'plain',
      },
      program: undefined,
      rule,
      service: rule.name,
      // A request that is not idempotent runs to completion even if the caller disconnects.
      signal: isIdempotent ? AbortSignal.any([timeout, callerDisconnected.signal]) : timeout,
      timeoutMilliseconds,
      workspace: request.workspace,
    };
    const forwarded = new ForwardedResponse(response, this.options.readerTimeoutMilliseconds);
    await this.forward(
      work,
      AbortSignal.any([request.keyWithdrawn, callerDisconnected.signal]),
      forwarded,
    );
    if (request.keyWithdrawn.aborted && !response.writableEnded) {
      forwarded.abort(new ZincringError('key-withdrawn-while-running'));
    }
  }

  private async forward(
    work: UpstreamWork,
    stopForwarding: AbortSignal,
    response: ForwardedResponse,
  ): Promise<void> {
    for await (const frame of untilAborted(
      this.options.dispatcher.dispatch(work),
      stopForwarding,
    )) {
      switch (frame.kind) {
        case 'head':
          response.setHead(frame);
          break;
        case 'data':
          await response.write(frame.data);
          break;
        case 'done':
          response.end();
          return;
        case 'failed':
          response.abort(frame.error);
          return;
      }
    }
  }
}
