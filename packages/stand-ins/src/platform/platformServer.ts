import type { TimerService } from '@zincring/core';
import type { DirectoryEntry, ScanRequest, Transaction } from '@zincring/platform';
import type { ServerResponse } from 'node:http';

import type { StandInHandler, StandInRequest } from '../util/jsonServer.js';
import type { Faults } from './faultSwitch.js';

import { readJson, sendJson } from '../util/jsonServer.js';
import { FaultSwitch } from './faultSwitch.js';
import { MemoryObjects } from './memoryObjects.js';
import { MemoryTable } from './memoryTable.js';

/** Options of a {@link PlatformServer}. */
export interface PlatformServerOptions {
  readonly timers: TimerService;
  /** Delay until a change of the list of instances becomes visible, in milliseconds. */
  readonly directoryLagMilliseconds: number;
}

/** Serves a table service, an object store and a list of instances over HTTP from one process. */
export class PlatformServer {
  private readonly table = new MemoryTable();
  private readonly objects = new MemoryObjects();
  private readonly faults: FaultSwitch;
  private visibleEntries: readonly DirectoryEntry[] = [];

  public constructor(private readonly options: PlatformServerOptions) {
    this.faults = new FaultSwitch(options.timers);
  }

  /** Handles the platform's routes, and the routes under `/stand-in/` that control the stand-in. */
  public readonly handle: StandInHandler = async (request, response) => {
    if (request.url.pathname.startsWith('/stand-in/')) {
      return this.handleControlRequest(request, response);
    }
    const isWrite = request.method === 'PUT' || request.url.pathname === '/table/transact';
    const outcome = await this.faults.decideOutcome(isWrite);
    switch (outcome) {
      case 'hung':
        return true;
      case 'refused':
        return sendJson(response, 503, { error: 'the stand-in is switched off' });
      case 'answer-lost':
        this.executeOperation(request);
        response.destroy();
        return true;
      case 'answered':
        return reply(response, this.executeOperation(request));
    }
  };

  private handleControlRequest(request: StandInRequest, response: ServerResponse): boolean {
    switch (request.url.pathname) {
      case '/stand-in/faults':
        this.faults.set(readJson<Partial<Faults>>(request));
        return sendJson(response, 200, {});
      case '/stand-in/instances': {
        const { instances } = readJson<{ readonly instances: readonly DirectoryEntry[] }>(request);
        this.options.timers.after(this.options.directoryLagMilliseconds, () => {
          this.visibleEntries = instances;
        });
        return sendJson(response, 200, {});
      }
      case '/stand-in/counters':
        return sendJson(response, 200, { commits: this.table.commits, puts: this.objects.puts });
      default:
        return false;
    }
  }

  private executeOperation(request: StandInRequest): PlatformResponse | undefined {
    switch (request.url.pathname) {
      case '/table/read':
        return json({ rows: this.table.read(readJson<{ keys: readonly string[] }>(request).keys) });
      case '/table/scan': {
        const page = this.table.scan(readJson<ScanRequest>(request));
        return json({ next: page.next ?? null, rows: page.rows });
      }
      case '/table/transact':
        return json(this.table.transact(readJson<Transaction>(request)));
      case '/instances':
        return json({ instances: this.visibleEntries });
      case '/objects':
        return this.listObjects(request.url.searchParams);
      default:
        return request.url.pathname.startsWith('/objects/')
          ? this.executeObjectOperation(request)
          : undefined;
    }
  }

  private listObjects(query: URLSearchParams): PlatformResponse {
    const after = query.get('after');
    const page = this.objects.list({
      limit: Number(query.get('limit')),
      prefix: query.get('prefix') ?? '',
      ...(after === null ? {} : { after }),
    });
    return json({ names: page.names, next: page.next ?? null });
  }

  private executeObjectOperation(request: StandInRequest): PlatformResponse | undefined {
    const name = decodeURIComponent(request.url.pathname.slice('/objects/'.length));
    switch (request.method) {
      case 'PUT': {
        const outcome = this.objects.putIfAbsent(name, request.body);
        return { body: '', status: outcome === 'stored' ? 201 : 412 };
      }
      case 'DELETE':
        this.objects.delete(name);
        return { body: '', status: 204 };
      case 'GET': {
        const content = this.objects.get(name, parseRange(request.headers.range));
        return content === undefined ? { body: '', status: 404 } : { body: content, status: 200 };
      }
      default:
        return undefined;
    }
  }
}

interface PlatformResponse {
  readonly status: number;
  readonly body: string | Uint8Array;
}

function json(body: unknown): PlatformResponse {
  return { body: JSON.stringify(body), status: 200 };
}

function reply(response: ServerResponse, platformResponse: PlatformResponse | undefined): boolean {
  if (platformResponse === undefined) {
    return false;
  }
  response.writeHead(platformResponse.status);
  response.end(platformResponse.body);
  return true;
}

function parseRange(header: string | undefined): { start: number; end: number } | undefined {
  const match = /^bytes=(\d+)-(\d+)$/.exec(header ?? '');
  return match === null ? undefined : { end: Number(match[2]) + 1, start: Number(match[1]) };
}
