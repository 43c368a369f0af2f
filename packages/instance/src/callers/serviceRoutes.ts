import type { CallId, ServiceName, WorkspaceName } from '@zincring/core';
import type { Configuration } from '@zincring/rules';
import type { ServerResponse } from 'node:http';

import { randomUUID } from 'node:crypto';

import { Ok, ZincringError } from '@zincring/core';

import type { UpstreamDispatcher, UpstreamWork } from '../upstreams/upstreamMessages.js';

/** One request to a plain service, outside programs. */
export interface ServiceRouteRequest {
  readonly method: string;
  readonly service: ServiceName;
  /** Path and query at the service. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly workspace: WorkspaceName;
}

const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Serves requests to plain services outside programs. */
export class ServiceRoutes {
  public constructor(private readonly dispatcher: UpstreamDispatcher) {}

  /** Answers one request. */
  public async handle(
    configuration: Configuration,
    request: ServiceRouteRequest,
    response: ServerResponse,
  ): Promise<void> {
    const rule = configuration.services.get(request.service);
    if (rule?.protocol !== 'plain') {
      throw new ZincringError('service-not-found');
    }
    const timeoutMilliseconds = rule.timeoutSeconds * 1_000;
    const work: UpstreamWork = {
      attainedTokens: 0,
      beforeSend: async () => Promise.resolve(Ok(undefined)),
      call: randomUUID() as string as CallId,
      isIdempotent: rule.idempotent || SAFE_METHODS.has(request.method),
      payload: {
        body: request.body,
        contentType: request.contentType,
        method: request.method,
        path: request.path,
        protocol: 'plain',
      },
      program: undefined,
      rule,
      service: request.service,
      signal: AbortSignal.timeout(timeoutMilliseconds),
      timeoutMilliseconds,
      workspace: request.workspace,
    };
    await this.forward(work, response);
  }

  private async forward(work: UpstreamWork, response: ServerResponse): Promise<void> {
    for await (const frame of this.dispatcher.dispatch(work)) {
      switch (frame.kind) {
        case 'head':
          response.writeHead(frame.status, { 'content-type': frame.contentType });
          break;
        case 'data':
          response.write(frame.data);
          break;
        case 'done':
          response.end();
          return;
        case 'failed':
          if (response.headersSent) {
            response.destroy();
            return;
          }
          throw frame.error;
      }
    }
  }
}
