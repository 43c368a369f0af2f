import type { Logger, TimerService, TimerSubscription } from '@zincring/core';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { createServer } from 'node:http';

import type { CallerLimits } from '../configuration/gatewayConfiguration.js';
import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { ZoneOutageDetector } from '../lifecycle/zoneOutageDetector.js';
import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { HeldMemory } from './memory/heldMemory.js';
import type { HeaderCodec } from './requestFacts.js';
import type { IncomingRequest, RequestPipeline } from './requestPipeline.js';

import { failureText } from '@zincring/core';

import { CallerResponse } from './callerResponse.js';
import { HeldResponse } from './memory/heldResponse.js';
import { listenOn, getPort } from '../util/listen.js';
import { QueuedResponses } from './queuedResponses.js';
import { MAXIMUM_PARSED_HEADER_BYTES } from '../util/httpLimits.js';
import { readRequestBody } from './readRequestBody.js';
import { UnansweredRequests } from './unansweredRequests.js';

/** Dependencies of a {@link GatewayServer}. */
export interface GatewayServerDependencies {
  readonly pipeline: RequestPipeline;
  readonly memory: HeldMemory;
  readonly metrics: GatewayMetrics;
  readonly headerCodec: HeaderCodec;
  readonly timers: TimerService;
  readonly logger: Logger;
  /**
   * Whether the store has answered recently. Without contact, each connection is closed after its
   * response.
   */
  readonly hasStoreContact: () => boolean;
  readonly zoneOutageDetector: ZoneOutageDetector;
}

/**
 * Time that idle connections stay open beyond the configured idle timeout, in milliseconds, so that
 * a connection is not closed while a caller still reuses it.
 */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 2_000;
/** Interval at which idle connections are closed during shutdown, in milliseconds. */
const CLOSE_IDLE_INTERVAL_MILLISECONDS = 100;

/**
 * HTTP server for callers.
 *
 * @example
 * const server = new GatewayServer(dependencies);
 * await server.listen({ host: '10.1.0.11', port: 8368 });
 */
export class GatewayServer {
  private readonly server: Server;
  private readonly queuedResponses = new QueuedResponses();
  /** Connections whose last response has been announced. */
  private readonly unansweredRequests = new UnansweredRequests();
  private readonly closingConnections = new WeakSet<Socket>();
  private isClosing = false;
  private idleConnectionTimer: TimerSubscription | undefined;
  private inFlightCount = 0;
  private maximumHeaderBytes = MAXIMUM_PARSED_HEADER_BYTES;

  public constructor(private readonly dependencies: GatewayServerDependencies) {
    this.server = createServer(
      { keepAlive: true, maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES, noDelay: true },
      (request, response) => {
        this.handleRequest(request, response);
      },
    );
    this.server.on('connection', () => {
      dependencies.zoneOutageDetector.recordConnection();
    });
    this.server.on('clientError', (failure: Error, socket) => {
      this.refuseMalformedRequest(failure, socket);
    });
  }

  /** Number of requests whose response is not complete. */
  public get requestsInFlight(): number {
    return this.inFlightCount;
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Port that the server listens on. */
  public get port(): number {
    return getPort(this.server);
  }

  /** Applies the operator's limits on headers and idle connections. */
  public applyLimits(limits: CallerLimits): void {
    this.maximumHeaderBytes = limits.maximumHeaderBytes;
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds + KEEP_ALIVE_MARGIN_MILLISECONDS;
    this.server.headersTimeout = limits.headerTimeoutMilliseconds;
  }

  /** Adds `Connection: close` to all further responses. */
  public announceClose(): void {
    this.isClosing = true;
  }

  /** Closes all connections without a request, and each further one once it has none. */
  public closeIdleConnections(): void {
    this.server.closeIdleConnections();
    this.idleConnectionTimer ??= this.dependencies.timers.every(
      CLOSE_IDLE_INTERVAL_MILLISECONDS,
      () => {
        this.server.closeIdleConnections();
      },
    );
  }

  /** Stops listening and waits until all responses are complete or the timeout has passed. */
  public async close(timeoutMilliseconds: number): Promise<void> {
    this.announceClose();
    this.closeIdleConnections();
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    const timeout = new Promise<void>(resolve => {
      this.dependencies.timers.after(timeoutMilliseconds, resolve);
    });
    await Promise.race([closed, timeout]);
    this.idleConnectionTimer?.stop();
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.closingConnections.has(request.socket)) {
      // Its response could not be sent any more.
      request.resume();
      return;
    }
    const callerResponse = new CallerResponse(response, this.holdResponse(response), () =>
      this.shouldClose(response, request.socket),
    );
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    this.queuedResponses.add(response, request.socket);
    this.unansweredRequests.add(request, response);
    this.inFlightCount++;
    response.once('close', () => {
      this.inFlightCount--;
    });
    const incoming = this.toIncomingRequest(request, response);
    if (countHeaderBytes(request.rawHeaders) > this.maximumHeaderBytes) {
      callerResponse.send(431, ['Connection', 'close'], Buffer.alloc(0));
      return;
    }
    this.dependencies.pipeline.handle(incoming, callerResponse).catch((failure: unknown) => {
      this.dependencies.logger.error(
        {
          event: 'request-fault',
          failure: failureText(failure),
          request: incoming.facts.requestId,
        },
        'unexpected error while handling a request',
      );
      callerResponse.abort();
    });
  }

  /** Whether a connection ends with a response; those of requests that were sent behind it come first. */
  private shouldClose(response: ServerResponse, connection: Socket): boolean {
    const isClosing = this.isClosing || !this.dependencies.hasStoreContact();
    if (!isClosing || !this.queuedResponses.isLast(response, connection)) {
      return false;
    }
    this.closingConnections.add(connection);
    return true;
  }

  private holdResponse(response: ServerResponse): HeldResponse {
    const { logger, memory, metrics, timers } = this.dependencies;
    return new HeldResponse(response, {
      getUnreadMilliseconds: () => this.server.keepAliveTimeout,
      memory,
      onUnread: () => {
        metrics.unreadResponses.inc();
        logger.warn(
          { event: 'response-unread', held: memory.bytes },
          'closed a connection whose caller does not read the response',
        );
      },
      timers,
    });
  }

  private toIncomingRequest(request: IncomingMessage, response: ServerResponse): IncomingRequest {
    return {
      facts: this.dependencies.headerCodec.readFacts(request.rawHeaders),
      headers: request.rawHeaders,
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      onCallerDisconnected: listener => {
        response.once('close', () => {
          if (!response.writableFinished) {
            listener();
          }
        });
      },
      path: request.url ?? '/',
      readBody: async maximumBytes =>
        await readRequestBody(request, response, this.dependencies.memory, maximumBytes),
      receivedAt: this.dependencies.timers.now(),
    };
  }

  private refuseMalformedRequest(failure: Error, socket: Duplex): void {
    const { code } = failure as { readonly code?: string };
    this.dependencies.logger.info(
      { event: 'malformed-request', failure: code ?? failure.message },
      'connection sent a malformed request',
    );
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    if (this.unansweredRequests.hasComplete(socket)) {
      this.unansweredRequests.closeAfterResponses(socket);
      return;
    }
    const status = chooseStatusLine(code);
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}

function chooseStatusLine(code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return '431 Request Header Fields Too Large';
  }
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request';
}

function countHeaderBytes(headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}
