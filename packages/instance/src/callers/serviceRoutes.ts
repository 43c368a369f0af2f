import type { CallId, ServiceName, WorkspaceName } from '@zincring/core';
import type { Configuration, ServiceRule } from '@zincring/rules';
import type { ServerResponse } from 'node:http';

import { randomUUID } from 'node:crypto';

import { isIdentifier, Ok, ZincringError } from '@zincring/core';

import type { UpstreamDispatcher, UpstreamWork } from '../upstreams/upstreamMessages.js';

import { isSafeMethod } from '../util/isSafeMethod.js';
import { refuseMethod } from './refuseMethod.js';
import { untilAborted } from './untilAborted.js';
import { writePatiently } from './writePatiently.js';

/** Which service a request is for, before its body is read. */
export interface ServiceRouteTarget {
  readonly configuration: Configuration;
  readonly method: string;
  readonly service: ServiceName;
}

/** A service that takes the request. */
export interface PreparedService {
  readonly method: string;
  readonly rule: ServiceRule;
}

/** One request to a plain service, outside programs. */
export interface ServiceRouteRequest extends PreparedService {
  /** Path and query at the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  /** Identifies the request at the service, within its workspace. */
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer;
  readonly workspace: WorkspaceName;
  /** Aborts when the caller's key is withdrawn. */
  readonly keyWithdrawn: AbortSignal;
}

/** What serving plain services needs. */
export interface ServiceRoutesOptions {
  readonly dispatcher: UpstreamDispatcher;
  /** How long a caller may read nothing, in milliseconds. */
  readonly readerTimeoutMilliseconds: number;
}

const ALLOWED_METHODS = ['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'] as const;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** Serves requests to plain services outside programs. */
export class ServiceRoutes {
  public constructor(private readonly options: ServiceRoutesOptions) {}

  /** Checks what can be checked before the body is read; throws the refusal. */
  public prepare(target: ServiceRouteTarget, response: ServerResponse): PreparedService {
    const rule = target.configuration.services.get(target.service);
    if (rule?.protocol !== 'plain') {
      throw new ZincringError('service-not-found');
    }
    refuseMethod(target.method, ALLOWED_METHODS, response);
    return { method: target.method, rule };
  }

  /** Answers one request. */
  public async handle(request: ServiceRouteRequest, response: ServerResponse): Promise<void> {
    const { idempotencyKey, rule } = request;
    if (idempotencyKey !== undefined && !isIdentifier(idempotencyKey)) {
      throw new ZincringError('bad-request', { detail: 'idempotency-key: not an identifier' });
    }
    const timeoutMilliseconds = rule.timeoutSeconds * 1_000;
    const isIdempotent = rule.idempotent || isSafeMethod(request.method);
    const gone = new AbortController();
    response.once('close', () => {
      gone.abort();
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
      // Work with effects runs to its end, also when nobody waits for its answer.
      signal: isIdempotent ? AbortSignal.any([timeout, gone.signal]) : timeout,
      timeoutMilliseconds,
      workspace: request.workspace,
    };
    await this.forward(work, AbortSignal.any([request.keyWithdrawn, gone.signal]), response);
    if (request.keyWithdrawn.aborted && !response.writableEnded) {
      cutOff(response, new ZincringError('key-withdrawn-while-running'));
    }
  }

  private async forward(
    work: UpstreamWork,
    abandoned: AbortSignal,
    response: ServerResponse,
  ): Promise<void> {
    for await (const frame of untilAborted(this.options.dispatcher.dispatch(work), abandoned)) {
      switch (frame.kind) {
        case 'head':
          response.writeHead(frame.status, { 'content-type': frame.contentType });
          break;
        case 'data':
          await writePatiently(response, frame.data, this.options.readerTimeoutMilliseconds);
          break;
        case 'done':
          response.end();
          return;
        case 'failed':
          cutOff(response, frame.error);
          return;
      }
    }
  }
}

/** Refuses, or breaks off an answer whose head is sent, so that it cannot pass for whole. */
function cutOff(response: ServerResponse, error: ZincringError): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  throw error;
}
