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
import { refuseLeakedKey } from './keyLeak.js';
import { readBody } from './readBody.js';
import { parseRequestTarget } from './requestTarget.js';

/** What routing callers' requests needs. */
export interface CallerRouterOptions {
  readonly configuration: () => Configuration | undefined;
  readonly admission: Admission;
  readonly keyWatch: Pick<KeyWatch, 'onWithdrawn'>;
  readonly programRoutes: ProgramRoutes;
  readonly serviceRoutes: ServiceRoutes;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Largest body accepted, in bytes. */
  readonly bodyLimitBytes: number;
}

/** One request with the configuration under which it is answered. */
interface RoutedRequest {
  readonly configuration: Configuration;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly target: RequestTarget;
}

/** Stands for all callers of open routes; no workspace can be named so. */
export const OPEN_WORKSPACE = '-open' as WorkspaceName;

/** How long an admission counts while the body arrives, in milliseconds. */
const ADMISSION_MILLISECONDS = 1_000;

/** Headers that a request may carry only once. */
const SINGLE_HEADERS = ['authorization', 'content-type', 'idempotency-key'] as const;

/** Finds who sent a request and which route answers it. */
export class CallerRouter {
  public constructor(private readonly options: CallerRouterOptions) {}

  /** Answers one request; throws the refusal. */
  public async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const configuration = this.options.configuration();
    if (configuration === undefined) {
      throw new ZincringError('instance-not-ready');
    }
    refuseRepeatedHeaders(request);
    const target = parseRequestTarget(request.url ?? '/');
    refuseLeakedKey(configuration, request.headers.authorization, {
      headers: [request.headers['content-type'] ?? '', idempotencyKey(request) ?? ''],
      target: request.url ?? '/',
    });
    const routed: RoutedRequest = { configuration, request, response, target };
    const [version, area, service] = target.segments;
    if (version === 'v1' && area === 'programs') {
      await this.handleProgram(routed);
      return;
    }
    if (version === 'v1' && area === 'services' && service !== undefined) {
      await this.handleService(routed, service as ServiceName, directPath(target));
      return;
    }
    await this.handleRoute(routed);
  }

  private async handleProgram({
    configuration,
    request,
    response,
    target,
  }: RoutedRequest): Promise<void> {
    const caller = findCaller(configuration, request);
    const method = request.method ?? 'GET';
    const segments = target.segments.slice(2);
    this.options.programRoutes.checkRoute({ method, segments }, response);
    const body = await this.readAdmitted(request, caller.workspace);
    await this.watchKey(caller.keyHash, async keyWithdrawn => {
      const routeRequest = { body, caller, keyWithdrawn, method, segments };
      await this.options.programRoutes.handle(routeRequest, response);
    });
  }

  private async handleRoute(routed: RoutedRequest): Promise<void> {
    const { configuration, target } = routed;
    const path = target.pathname + target.search;
    const route = configuration.routes.find(each => isBelow(target.pathname, each));
    if (route === undefined) {
      throw new ZincringError('not-found');
    }
    if (route.access === 'key') {
      await this.handleService(routed, route.service, path);
      return;
    }
    const { request, response } = routed;
    const work = this.options.serviceRoutes.prepare(
      { configuration, method: request.method ?? 'GET', service: route.service },
      response,
    );
    const body = await readBody(request, this.options.bodyLimitBytes);
    await this.options.serviceRoutes.handle(
      {
        ...work,
        body,
        contentType: request.headers['content-type'],
        idempotencyKey: idempotencyKey(request),
        keyWithdrawn: new AbortController().signal,
        path,
        workspace: OPEN_WORKSPACE,
      },
      response,
    );
  }

  private async handleService(
    { configuration, request, response }: RoutedRequest,
    service: ServiceName,
    path: string,
  ): Promise<void> {
    const caller = findCaller(configuration, request);
    const work = this.options.serviceRoutes.prepare(
      { configuration, method: request.method ?? 'GET', service },
      response,
    );
    const body = await this.readAdmitted(request, caller.workspace);
    await this.watchKey(caller.keyHash, async keyWithdrawn => {
      await this.options.serviceRoutes.handle(
        {
          ...work,
          body,
          contentType: request.headers['content-type'],
          idempotencyKey: idempotencyKey(request),
          keyWithdrawn,
          path,
          workspace: caller.workspace.name,
        },
        response,
      );
    });
  }

  /**
   * Admits a request before its body is read, so that a refusal costs no reading. A body that
   * arrives slowly is admitted again after it: admissions cannot be hoarded and used at once.
   */
  private async readAdmitted(request: IncomingMessage, workspace: WorkspaceRule): Promise<Buffer> {
    await this.admit(workspace);
    const admittedAt = this.options.now();
    const body = await readBody(request, this.options.bodyLimitBytes);
    if (this.options.now() - admittedAt > ADMISSION_MILLISECONDS) {
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

  private async watchKey(
    keyHash: KeyHash,
    operation: (keyWithdrawn: AbortSignal) => Promise<void>,
  ): Promise<void> {
    const withdrawn = new AbortController();
    const subscription = this.options.keyWatch.onWithdrawn(keyHash, () => {
      withdrawn.abort();
    });
    try {
      if (withdrawn.signal.aborted) {
        throw new ZincringError('key-rejected');
      }
      await operation(withdrawn.signal);
    } finally {
      subscription.stop();
    }
  }
}

function findCaller(configuration: Configuration, request: IncomingMessage): Caller {
  const caller = authenticate(configuration, request.headers.authorization);
  if (caller.err) {
    throw caller.val;
  }
  return caller.val;
}

function refuseRepeatedHeaders(request: IncomingMessage): void {
  const repeated = SINGLE_HEADERS.find(
    header => (request.headersDistinct[header]?.length ?? 0) > 1,
  );
  if (repeated !== undefined) {
    throw new ZincringError('bad-request', { detail: `the header ${repeated} is repeated` });
  }
}

function idempotencyKey(request: IncomingMessage): string | undefined {
  const value = request.headers['idempotency-key'];
  return typeof value === 'string' ? value : undefined;
}

/** Path and query at a service that is named in the path. */
function directPath({ pathname, search }: RequestTarget): string {
  const [, , , , ...rest] = pathname.split('/');
  return `/${rest.join('/')}${search}`;
}

function isBelow(pathname: string, { path }: RouteRule): boolean {
  const prefix = path.endsWith('/') ? path : `${path}/`;
  return pathname === path || pathname.startsWith(prefix);
}
