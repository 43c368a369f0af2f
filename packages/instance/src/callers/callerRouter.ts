import type { KeyHash, ServiceName, WorkspaceName } from '@zincring/core';
import type { Configuration, RouteRule, WorkspaceRule } from '@zincring/rules';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { ZincringError } from '@zincring/core';

import type { Admission } from '../limits/admission.js';
import type { Caller } from './authentication.js';
import type { KeyWatch } from '../configuration/keyWatch.js';
import type { ProgramRoutes } from './programRoutes.js';
import type { RequestTarget } from './requestTarget.js';
import type { ServiceRoutes } from './serviceRoutes.js';

import { authenticate } from './authentication.js';
import { refuseLeakedKey } from './refuseLeakedKey.js';
import { readBody } from './readBody.js';
import { parseRequestTarget } from './requestTarget.js';

/** Options of a {@link CallerRouter}. */
export interface CallerRouterOptions {
  readonly configuration: () => Configuration | undefined;
  readonly admission: Admission;
  readonly keyWatch: Pick<KeyWatch, 'onWithdrawn'>;
  readonly programRoutes: ProgramRoutes;
  readonly serviceRoutes: ServiceRoutes;
  /** Returns the time of the monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Maximum size of a request body, in bytes. */
  readonly bodyLimitBytes: number;
}

/** Request with the configuration that applies to it. */
interface RoutedRequest {
  readonly configuration: Configuration;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly target: RequestTarget;
}

/**
 * Workspace to which requests of open routes are attributed. The name is not a valid identifier, so
 * no configured workspace can have it.
 */
export const OPEN_WORKSPACE = '-open' as WorkspaceName;

/** Time for which an admission stays valid while the body arrives, in milliseconds. */
const ADMISSION_VALIDITY_MILLISECONDS = 1_000;

/** Headers that may appear only once in a request. */
const NON_REPEATABLE_HEADERS = ['authorization', 'content-type', 'idempotency-key'] as const;

/** Authenticates requests of callers and passes them to the handler of their route. */
export class CallerRouter {
  public constructor(private readonly options: CallerRouterOptions) {}

  /** Handles one request; throws a `ZincringError` if it is refused. */
  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const configuration = this.options.configuration();
    if (configuration === undefined) {
      throw new ZincringError('instance-not-ready');
    }
    refuseRepeatedHeaders(request);
    const target = parseRequestTarget(request.url ?? '/');
    refuseLeakedKey(configuration, request.headers.authorization, {
      headers: [request.headers['content-type'] ?? '', readIdempotencyKey(request) ?? ''],
      target: request.url ?? '/',
    });
    const routed: RoutedRequest = { configuration, request, response, target };
    const [version, resource, service] = target.segments;
    if (version === 'v1' && resource === 'programs') {
      await this.handleProgramRequest(routed);
      return;
    }
    if (version === 'v1' && resource === 'services' && service !== undefined) {
      await this.handleServiceRequest(routed, service as ServiceName, pathAtService(target));
      return;
    }
    await this.handleRouteRequest(routed);
  }

  private async handleProgramRequest({
    configuration,
    request,
    response,
    target,
  }: RoutedRequest): Promise<void> {
    const caller = authenticateCaller(configuration, request);
    const method = request.method ?? 'GET';
    const segments = target.segments.slice(2);
    this.options.programRoutes.checkRoute({ method, segments }, response);
    const body = await this.admitAndReadBody(request, caller.workspace);
    await this.runWithWithdrawalSignal(caller.keyHash, async keyWithdrawn => {
      const routeRequest = { body, caller, keyWithdrawn, method, segments };
      await this.options.programRoutes.handle(routeRequest, response);
    });
  }

  private async handleRouteRequest(routed: RoutedRequest): Promise<void> {
    const { configuration, target } = routed;
    const path = target.pathname + target.search;
    const route = findRoute(configuration, target);
    if (route.access === 'key') {
      await this.handleServiceRequest(routed, route.service, path);
      return;
    }
    const { request, response } = routed;
    const prepared = this.options.serviceRoutes.prepare(
      { configuration, method: request.method ?? 'GET', service: route.service },
      response,
    );
    const body = await readBody(request, this.options.bodyLimitBytes);
    this.requireOpenRoute(target);
    await this.options.serviceRoutes.handle(
      {
        ...prepared,
        body,
        contentType: request.headers['content-type'],
        idempotencyKey: readIdempotencyKey(request),
        keyWithdrawn: new AbortController().signal,
        path,
        workspace: OPEN_WORKSPACE,
      },
      response,
    );
  }

  /** Refuses a request without a key whose route has been removed, or closed, while its body arrived. */
  private requireOpenRoute(target: RequestTarget): void {
    const configuration = this.options.configuration();
    if (configuration === undefined) {
      throw new ZincringError('instance-not-ready');
    }
    if (findRoute(configuration, target).access !== 'open') {
      throw new ZincringError('key-missing');
    }
  }

  private async handleServiceRequest(
    { configuration, request, response }: RoutedRequest,
    service: ServiceName,
    path: string,
  ): Promise<void> {
    const caller = authenticateCaller(configuration, request);
    const prepared = this.options.serviceRoutes.prepare(
      { configuration, method: request.method ?? 'GET', service },
      response,
    );
    const body = await this.admitAndReadBody(request, caller.workspace);
    await this.runWithWithdrawalSignal(caller.keyHash, async keyWithdrawn => {
      await this.options.serviceRoutes.handle(
        {
          ...prepared,
          body,
          contentType: request.headers['content-type'],
          idempotencyKey: readIdempotencyKey(request),
          keyWithdrawn,
          path,
          workspace: caller.workspace.name,
        },
        response,
      );
    });
  }

  /**
   * Admits a request before its body is read, so that the body of a refused request is not read. If
   * the body arrives slowly, the request is admitted again after it; otherwise a caller could
   * collect admissions with incomplete requests and then complete all of them in one burst.
   */
  private async admitAndReadBody(
    request: IncomingMessage,
    workspace: WorkspaceRule,
  ): Promise<Buffer> {
    await this.admit(workspace);
    const admittedAt = this.options.now();
    const body = await readBody(request, this.options.bodyLimitBytes);
    if (this.options.now() - admittedAt > ADMISSION_VALIDITY_MILLISECONDS) {
      await this.admit(workspace);
    }
    return body;
  }

  private async admit(workspace: WorkspaceRule): Promise<void> {
    const admitted = await this.options.admission.admit(workspace);
    if (admitted.err) {
      throw admitted.val;
    }
  }

  private async runWithWithdrawalSignal(
    keyHash: KeyHash,
    operation: (keyWithdrawn: AbortSignal) => Promise<void>,
  ): Promise<void> {
    const withdrawal = new AbortController();
    const subscription = this.options.keyWatch.onWithdrawn(keyHash, () => {
      withdrawal.abort();
    });
    try {
      if (withdrawal.signal.aborted) {
        throw new ZincringError('key-rejected');
      }
      await operation(withdrawal.signal);
    } finally {
      subscription.stop();
    }
  }
}

function authenticateCaller(configuration: Configuration, request: IncomingMessage): Caller {
  const caller = authenticate(configuration, request.headers.authorization);
  if (caller.err) {
    throw caller.val;
  }
  return caller.val;
}

function refuseRepeatedHeaders(request: IncomingMessage): void {
  const repeated = NON_REPEATABLE_HEADERS.find(
    header => (request.headersDistinct[header]?.length ?? 0) > 1,
  );
  if (repeated !== undefined) {
    throw new ZincringError('bad-request', { detail: `the header ${repeated} is repeated` });
  }
}

function readIdempotencyKey(request: IncomingMessage): string | undefined {
  const value = request.headers['idempotency-key'];
  return typeof value === 'string' ? value : undefined;
}

/** Returns the path and query at the service for a target below `/v1/services/`. */
function pathAtService({ pathname, search }: RequestTarget): string {
  const [, , , , ...remainingSegments] = pathname.split('/');
  return `/${remainingSegments.join('/')}${search}`;
}

/** Finds the route of a target; throws the kind `not-found` if there is none. */
function findRoute({ routes }: Configuration, { pathname }: RequestTarget): RouteRule {
  const route = routes.find(each => matchesRoute(pathname, each));
  if (route === undefined) {
    throw new ZincringError('not-found');
  }
  return route;
}

function matchesRoute(pathname: string, { path }: RouteRule): boolean {
  const prefix = path.endsWith('/') ? path : `${path}/`;
  return pathname === path || pathname.startsWith(prefix);
}
