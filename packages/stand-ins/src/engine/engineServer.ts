import type { TimerService } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { StandInHandler, StandInRequest } from '../util/jsonServer.js';
import type { CacheEvent } from './prefixCache.js';
import type { EngineOptions, GenerateRequest, Generation } from './engineModel.js';

import { readJson, sendJson } from '../util/jsonServer.js';
import { EngineModel } from './engineModel.js';

/** Options of an {@link EngineServer}. */
export interface EngineServerOptions extends EngineOptions {
  readonly timers: TimerService;
  /** Duration of one step of the batch, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Interval at which load reports and cache events are published, in milliseconds. */
  readonly reportLagMilliseconds: number;
  /** Number n such that every n-th cache event is not published; 0 publishes all. */
  readonly cacheEventGap: number;
  /** Whether release requests with an outdated fencing token are refused. */
  readonly checksFencing: boolean;
  /** Called when a prompt contains {@link CRASH_MARKER}; a stand-in process exits here. */
  readonly onCrash: () => void;
}

/** Text that makes the engine crash when a prompt contains it. */
export const CRASH_MARKER = 'CRASH-THE-ENGINE';

/** Faults of the engine that tests can switch on. */
interface EngineBehaviour {
  /** Number of next release requests that are lost without effect. */
  readonly lostOrders: number;
  /** Whether requests to generate text get no response. */
  readonly isHanging: boolean;
}

interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly cachedTokens: number;
}

interface ReleaseRequest {
  readonly program: string;
  readonly fence: number;
}

/** Serves a model engine over HTTP; generated tokens are streamed as newline-delimited JSON. */
export class EngineServer {
  private readonly engine: EngineModel;
  private readonly highestFencingTokens = new Map<string, number>();
  private readonly receivedRequests: GenerateRequest[] = [];
  private readonly receivedHeaders: StandInRequest['headers'][] = [];
  private behaviour: EngineBehaviour = { isHanging: false, lostOrders: 0 };
  private publishedLoad: LoadReport = { cachedTokens: 0, running: 0, waiting: 0 };
  private publishedEvents: readonly CacheEvent[] = [];

  public constructor(private readonly options: EngineServerOptions) {
    this.engine = new EngineModel(options);
    options.timers.every(options.stepMilliseconds, () => {
      this.engine.step();
    });
    options.timers.every(Math.max(1, options.reportLagMilliseconds), () => {
      this.publishReports();
    });
  }

  /** Handles the engine's routes, and the routes under `/stand-in/` that control the stand-in. */
  public readonly handle: StandInHandler = (request, response) => {
    switch (request.url.pathname) {
      case '/v1/generate':
        return this.generate(request, response);
      case '/v1/cancel':
        this.engine.cancel(readJson<{ readonly requestId: string }>(request).requestId);
        return sendJson(response, 200, {});
      case '/v1/release':
        return this.release(readJson<ReleaseRequest>(request), response);
      case '/v1/load':
        return sendJson(response, 200, this.publishedLoad);
      case '/v1/cache-events':
        return this.sendCacheEvents(Number(request.url.searchParams.get('after') ?? 0), response);
      case '/v1/held':
        return sendJson(response, 200, {
          programs: Object.fromEntries(this.engine.cache.tokensByProgram()),
        });
      case '/stand-in/behaviour':
        this.behaviour = { ...this.behaviour, ...readJson<Partial<EngineBehaviour>>(request) };
        return sendJson(response, 200, {});
      case '/stand-in/seen':
        return sendJson(response, 200, {
          headers: this.receivedHeaders,
          requests: this.receivedRequests,
        });
      default:
        return false;
    }
  };

  private generate(request: StandInRequest, response: ServerResponse): boolean {
    const generateRequest = readJson<GenerateRequest>(request);
    this.receivedRequests.push(generateRequest);
    this.receivedHeaders.push(request.headers);
    if (this.behaviour.isHanging) {
      return true;
    }
    if (generateRequest.segments.some(segment => segment.includes(CRASH_MARKER))) {
      this.options.onCrash();
      response.destroy();
      return true;
    }
    const firstIndex = Number(request.url.searchParams.get('from') ?? 0);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    streamGeneration(this.engine.submit(generateRequest), firstIndex, response);
    response.on('close', () => {
      if (!response.writableFinished) {
        this.engine.cancel(generateRequest.requestId);
      }
    });
    return true;
  }

  private release(releaseRequest: ReleaseRequest, response: ServerResponse): boolean {
    if (this.behaviour.lostOrders > 0) {
      this.behaviour = { ...this.behaviour, lostOrders: this.behaviour.lostOrders - 1 };
      response.destroy();
      return true;
    }
    const highest = this.highestFencingTokens.get(releaseRequest.program) ?? 0;
    if (this.options.checksFencing && releaseRequest.fence < highest) {
      return sendJson(response, 409, { highest });
    }
    this.highestFencingTokens.set(releaseRequest.program, Math.max(highest, releaseRequest.fence));
    this.engine.release(releaseRequest.program);
    return sendJson(response, 200, {});
  }

  private publishReports(): void {
    this.publishedLoad = { ...this.engine.load, cachedTokens: this.engine.cache.size };
    this.publishedEvents = this.engine.cache.eventsAfter(0);
  }

  private sendCacheEvents(after: number, response: ServerResponse): boolean {
    const gap = this.options.cacheEventGap;
    const events = this.publishedEvents
      .slice(after)
      .filter(event => gap === 0 || event.sequence % gap !== 0);
    return sendJson(response, 200, { events, next: this.publishedEvents.length });
  }
}

/** Streams the tokens of a generation, starting at an index, followed by its usage. */
function streamGeneration(
  generation: Generation,
  firstIndex: number,
  response: ServerResponse,
): void {
  let nextIndex = firstIndex;
  const writeProgress = (): void => {
    while (nextIndex < generation.tokens.length) {
      response.write(
        `${JSON.stringify({ index: nextIndex, text: generation.tokens[nextIndex] })}\n`,
      );
      nextIndex++;
    }
    if (generation.state === 'done') {
      response.end(`${JSON.stringify({ usage: generation.usage })}\n`);
    }
    if (generation.state === 'cancelled') {
      response.destroy();
    }
  };
  generation.onProgress = writeProgress;
  writeProgress();
}
