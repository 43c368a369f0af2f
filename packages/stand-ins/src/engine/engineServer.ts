import type { TimerService } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { StandInHandler, StandInRequest } from '../util/jsonServer.js';
import type { CacheEvent } from './prefixCache.js';
import type { EngineOptions, GenerateRequest, Generation } from './engineModel.js';

import { readJson, sendJson } from '../util/jsonServer.js';
import { EngineModel } from './engineModel.js';

/** How the engine stand-in behaves. */
export interface EngineServerOptions extends EngineOptions {
  readonly timers: TimerService;
  /** Time of one step of the batch, in milliseconds. */
  readonly stepMilliseconds: number;
  /** How far load reports and cache events lag behind, in milliseconds. */
  readonly reportLagMilliseconds: number;
  /** Every how many cache events one is missing; 0 for none. */
  readonly cacheEventGap: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** Called when a prompt holds {@link CRASH_MARKER}; a process ends itself here. */
  readonly onCrash: () => void;
}

/** A prompt that holds this text brings the engine down. */
export const CRASH_MARKER = 'CRASH-THE-ENGINE';

/** How an engine answers orders. */
interface EngineBehaviour {
  /** How many of the next release orders are lost without effect. */
  readonly lostOrders: number;
  /** Whether requests hang. */
  readonly isHanging: boolean;
}

interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly cachedTokens: number;
}

interface ReleaseOrder {
  readonly program: string;
  readonly fence: number;
}

/** A model engine in one process, over HTTP with newline-delimited JSON streams. */
export class EngineServer {
  private readonly engine: EngineModel;
  private readonly highestFence = new Map<string, number>();
  private readonly seenPrompts: GenerateRequest[] = [];
  private readonly seenHeaders: StandInRequest['headers'][] = [];
  private behaviour: EngineBehaviour = { isHanging: false, lostOrders: 0 };
  private visibleLoad: LoadReport = { cachedTokens: 0, running: 0, waiting: 0 };
  private visibleEvents: readonly CacheEvent[] = [];

  public constructor(private readonly options: EngineServerOptions) {
    this.engine = new EngineModel(options);
    options.timers.every(options.stepMilliseconds, () => {
      this.engine.step();
    });
    options.timers.every(Math.max(1, options.reportLagMilliseconds), () => {
      this.publishReports();
    });
  }

  /** Handles the engine's routes and the switches under `/stand-in/`. */
  public readonly handle: StandInHandler = (request, response) => {
    switch (request.url.pathname) {
      case '/v1/generate':
        return this.generate(request, response);
      case '/v1/cancel':
        this.engine.cancel(readJson<{ readonly requestId: string }>(request).requestId);
        return sendJson(response, 200, {});
      case '/v1/release':
        return this.release(readJson<ReleaseOrder>(request), response);
      case '/v1/load':
        return sendJson(response, 200, this.visibleLoad);
      case '/v1/cache-events':
        return this.sendCacheEvents(Number(request.url.searchParams.get('after') ?? 0), response);
      case '/v1/held':
        return sendJson(response, 200, {
          programs: Object.fromEntries(this.engine.cache.heldTokens()),
        });
      case '/stand-in/behaviour':
        this.behaviour = { ...this.behaviour, ...readJson<Partial<EngineBehaviour>>(request) };
        return sendJson(response, 200, {});
      case '/stand-in/seen':
        return sendJson(response, 200, { headers: this.seenHeaders, requests: this.seenPrompts });
      default:
        return false;
    }
  };

  private generate(request: StandInRequest, response: ServerResponse): boolean {
    const order = readJson<GenerateRequest>(request);
    this.seenPrompts.push(order);
    this.seenHeaders.push(request.headers);
    if (this.behaviour.isHanging) {
      return true;
    }
    if (order.segments.some(segment => segment.includes(CRASH_MARKER))) {
      this.options.onCrash();
      response.destroy();
      return true;
    }
    const from = Number(request.url.searchParams.get('from') ?? 0);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    streamGeneration(this.engine.submit(order), from, response);
    response.on('close', () => {
      if (!response.writableFinished) {
        this.engine.cancel(order.requestId);
      }
    });
    return true;
  }

  private release(order: ReleaseOrder, response: ServerResponse): boolean {
    if (this.behaviour.lostOrders > 0) {
      this.behaviour = { ...this.behaviour, lostOrders: this.behaviour.lostOrders - 1 };
      response.destroy();
      return true;
    }
    const highest = this.highestFence.get(order.program) ?? 0;
    if (this.options.checksFencing && order.fence < highest) {
      return sendJson(response, 409, { highest });
    }
    this.highestFence.set(order.program, Math.max(highest, order.fence));
    this.engine.release(order.program);
    return sendJson(response, 200, {});
  }

  private publishReports(): void {
    this.visibleLoad = { ...this.engine.load, cachedTokens: this.engine.cache.size };
    this.visibleEvents = this.engine.cache.eventsAfter(0);
  }

  private sendCacheEvents(after: number, response: ServerResponse): boolean {
    const gap = this.options.cacheEventGap;
    const events = this.visibleEvents
      .slice(after)
      .filter(event => gap === 0 || event.sequence % gap !== 0);
    return sendJson(response, 200, { events, next: this.visibleEvents.length });
  }
}

/** Writes the tokens of a generation from an index on, and its usage at the end. */
function streamGeneration(generation: Generation, from: number, response: ServerResponse): void {
  let sent = from;
  const flush = (): void => {
    while (sent < generation.tokens.length) {
      response.write(`${JSON.stringify({ index: sent, text: generation.tokens[sent] })}\n`);
      sent++;
    }
    if (generation.state === 'done') {
      response.end(`${JSON.stringify({ usage: generation.usage })}\n`);
    }
    if (generation.state === 'cancelled') {
      response.destroy();
    }
  };
  generation.onProgress = flush;
  flush();
}
