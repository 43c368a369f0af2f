import type { Logger, ServiceName, WorkspaceName } from '@zincring/core';
import type { Configuration } from '@zincring/rules';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

import { toZincringError, ZincringError } from '@zincring/core';

import type { Admission } from '../limits/admission.js';
import type { Caller } from './authentication.js';
import type { ProgramRoutes } from './programRoutes.js';
import type { ServiceRoutes } from './serviceRoutes.js';

import { sendError } from './answers.js';
import { authenticate } from './authentication.js';
import { readBody } from './readBody.js';

/** What serving callers needs. */
export interface CallerServerOptions {
  readonly configuration: () => Configuration | undefined;
  readonly admission: Admission;
  readonly programRoutes: ProgramRoutes;
  readonly serviceRoutes: ServiceRoutes;
  readonly logger: Logger;
  /** Largest body accepted, in bytes. */
  readonly bodyLimitBytes: number;
  /** Largest head accepted, in bytes. */
  readonly headLimitBytes: number;
}

/** A request's path, split. */
interface Target {
  readonly segments: readonly string[];
  readonly pathname: string;
  readonly search: string;
}

/** The HTTP interface of callers. */
export class CallerServer {
  private readonly server: Server;
  private readonly active = new Set<ServerResponse>();
  private isDraining = false;

  public constructor(private readonly options: CallerServerOptions) {
    this.server = createServer({ maxHeaderSize: options.headLimitBytes }, (request, response) => {
      this.track(response);
      this.handle(request, response).catch((failure: unknown) => {
        const error = toZincringError(failure);
        if (error.kind === 'internal') {
          options.logger.error({ failure: error.message }, 'request failed');
        }
        sendError(response, error);
      });
    });
  }

  /** Requests that are being answered. */
  public get activeRequests(): number {
    return this.active.size;
  }

  /** Listens on an IP number and port. */
  public async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Takes no new connections and waits until every request is answered. */
  public async drain(): Promise<void> {
    this.isDraining = true;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => {
        resolve();
      }),
    );
    this.server.closeIdleConnections();
    await closed;
  }

  private track(response: ServerResponse): void {
    this.active.add(response);
    response.on('close', () => this.active.delete(response));
    if (this.isDraining) {
      response.setHeader('connection', 'close');
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const configuration = this.options.configuration();
    if (configuration === undefined) {
      throw new ZincringError('instance-not-ready');
    }
    const target = parseTarget(request.url ?? '/');
    const [version, area, ...rest] = target.segments;
    if (version === 'v1' && area === 'programs') {
      const caller = await this.admitCaller(configuration, request);
      const body = await readBody(request, this.options.bodyLimitBytes);
      const method = request.method ?? 'GET';
      await this.options.programRoutes.handle({ body, caller, method, segments: rest }, response);
      return;
    }
    await this.handleService(configuration, request, target, response);
  }

  private async handleService(
    configuration: Configuration,
    request: IncomingMessage,
    target: Target,
    response: ServerResponse,
  ): Promise<void> {
    const [version, area, service, ...rest] = target.segments;
    const isDirect = version === 'v1' && area === 'services' && service !== undefined;
    const route = configuration.routes.find(
      each => target.pathname === each.path || target.pathname.startsWith(`${each.path}/`),
    );
    if (!isDirect && route === undefined) {
      throw new ZincringError('not-found');
    }
    const isOpen = !isDirect && route?.access === 'open';
    const workspace = isOpen
      ? ('open' as WorkspaceName)
      : (await this.admitCaller(configuration, request)).workspace.name;
    await this.options.serviceRoutes.handle(
      configuration,
      {
        body: await readBody(request, this.options.bodyLimitBytes),
        contentType: request.headers['content-type'] ?? 'application/octet-stream',
        method: request.method ?? 'GET',
        path: isDirect ? `/${rest.join('/')}${target.search}` : target.pathname + target.search,
        service: (isDirect ? service : route?.service) as ServiceName,
        workspace,
      },
      response,
    );
  }

  private async admitCaller(
    configuration: Configuration,
    request: IncomingMessage,
  ): Promise<Caller> {
    const caller = authenticate(configuration, request.headers.authorization);
    if (caller.err) {
      throw caller.val;
    }
    const admitted = await this.options.admission.admit(caller.val.workspace);
    if (admitted.err) {
      throw admitted.val;
    }
    return caller.val;
  }
}

function parseTarget(url: string): Target {
  const [pathname = '/', ...query] = url.split('?');
  return {
    pathname,
    search: query.length === 0 ? '' : `?${query.join('?')}`,
    segments: pathname.split('/').filter(segment => segment !== ''),
  };
}
