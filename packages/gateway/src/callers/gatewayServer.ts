import type { Result, TimerSubscription } from '@zincring/core';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { CallerLimits } from '../configuration/gatewayConfiguration.js';
import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { ZoneOutageDetector } from '../lifecycle/zoneOutageDetector.js';
import type { ClientError, ListenerContext } from '../listeners/httpListener.js';
import type { HeaderCodec } from './requestFacts.js';
import type { IncomingRequest, RequestPipeline } from './requestPipeline.js';
import type { BodyReadFailure } from '../listeners/requestBody.js';

import { Err, failureText, ZincringError } from '@zincring/core';

import { HttpListener } from '../listeners/httpListener.js';
import { CallerResponse } from './callerResponse.js';
import { makeMemoryFullError } from './memory/memoryFullError.js';
import { HeldResponse } from './memory/heldResponse.js';
import { MAXIMUM_PARSED_HEADER_BYTES } from '../util/httpLimits.js';
import { UnansweredRequests } from './unansweredRequests.js';

/** Dependencies of a {@link GatewayServer}. */
export interface GatewayServerDependencies extends ListenerContext {
  readonly pipeline: RequestPipeline;
  readonly headerCodec: HeaderCodec;
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
/** Limits until the operator's are known. */
const INITIAL_LIMITS: CallerLimits = {
  headerTimeoutMilliseconds: 10_000,
  idleTimeoutMilliseconds: 10_000,
  maximumBodyBytes: 16 * 1024 * 1024,
  maximumHeaderBytes: MAXIMUM_PARSED_HEADER_BYTES,
};
const MILLISECONDS_PER_SECOND = 1_000;
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
  private readonly listener: HttpListener;
  private readonly unansweredRequests = new UnansweredRequests();
  /** Connections whose last response has been announced. */
  private readonly closingConnections = new WeakSet<Socket>();
  private isClosing = false;
  private idleConnectionTimer: TimerSubscription | undefined;
  private maximumHeaderBytes = INITIAL_LIMITS.maximumHeaderBytes;
  private maximumBodyBytes = INITIAL_LIMITS.maximumBodyBytes;

  public constructor(private readonly dependencies: GatewayServerDependencies) {
    const { zoneOutageDetector } = dependencies;
    this.listener = new HttpListener(
      {
        headMilliseconds: INITIAL_LIMITS.headerTimeoutMilliseconds,
        name: 'callers',
        onMalformed: (failure, connection) => {
          this.refuseMalformedRequest(failure, connection);
        },
        silenceMilliseconds: INITIAL_LIMITS.idleTimeoutMilliseconds,
      },
      dependencies,
      (request, response) => {
        this.handleRequest(request, response);
      },
    );
    this.listener.server.on('connection', () => {
      zoneOutageDetector.recordConnection();
    });
  }

  /** Number of requests whose response is not complete. */
  public get requestsInFlight(): number {
    return this.listener.requestsInProgress;
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await this.listener.listen(address);
  }

  /** Port that the server listens on. */
  public get port(): number {
    return this.listener.port;
  }

  /** Applies the operator's limits on what callers send and on idle connections. */
  public applyLimits(limits: CallerLimits): void {
    const { server } = this.listener;
    this.maximumHeaderBytes = limits.maximumHeaderBytes;
    this.maximumBodyBytes = limits.maximumBodyBytes;
    server.keepAliveTimeout = limits.idleTimeoutMilliseconds + KEEP_ALIVE_MARGIN_MILLISECONDS;
    this.listener.setTimes({
      headMilliseconds: limits.headerTimeoutMilliseconds,
      silenceMilliseconds: server.keepAliveTimeout,
    });
  }

  /** Adds `Connection: close` to all further responses. */
  public announceClose(): void {
    this.isClosing = true;
  }

  /** Closes all connections without a request, and each further one once it has none. */
  public closeIdleConnections(): void {
    const { server } = this.listener;
    server.closeIdleConnections();
    this.idleConnectionTimer ??= this.dependencies.timers.every(
      CLOSE_IDLE_INTERVAL_MILLISECONDS,
      () => {
        server.closeIdleConnections();
      },
    );
  }

  /** Stops listening and waits until all responses are complete or the timeout has passed. */
  public async close(timeoutMilliseconds: number): Promise<void> {
    this.announceClose();
    this.closeIdleConnections();
    const closed = new Promise<void>(resolve => {
      this.listener.server.close(() => {
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
    this.unansweredRequests.add(request, response);
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
    const isBodyUnread = !response.req.complete;
    if (!isBodyUnread && !this.shouldCloseInOrder(response, connection)) {
      return false;
    }
    this.closingConnections.add(connection);
    return true;
  }

  /** Whether no further requests of a connection are to be taken, and none has been sent yet. */
  private shouldCloseInOrder(response: ServerResponse, connection: Socket): boolean {
    const isClosing = this.isClosing || !this.dependencies.hasStoreContact();
    return (
      isClosing &&
      this.listener.queuedResponses.isLast(response, connection) &&
      !this.listener.hasWaitingBytes(connection)
    );
  }

  private holdResponse(response: ServerResponse): HeldResponse {
    const { logger, metrics, responseMemory: memory, timers } = this.dependencies;
    return new HeldResponse(response, {
      getUnreadMilliseconds: () => this.listener.server.keepAliveTimeout,
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
    const body = this.listener.readBody(request, response, this.maximumBodyBytes);
    return {
      deferFollowing: seconds => {
        this.listener.defer(request.socket, seconds * MILLISECONDS_PER_SECOND);
      },
      facts: this.dependencies.headerCodec.readFacts(request.rawHeaders),
      headers: request.rawHeaders,
      host: request.headers.host ?? '',
      isSentAhead: this.listener.isBeginningSentAhead(request.socket),
      method: request.method ?? 'GET',
      onCallerDisconnected: listener => {
        response.once('close', () => {
          if (!response.writableFinished) {
            listener();
          }
        });
      },
      path: request.url ?? '/',
      readBody: async () => describeBody(await body.read()),
      skipBody: async () => await body.skip(),
      refusal: this.findRefusal(request),
      receivedAt: this.dependencies.timers.now(),
    };
  }

  /** Finds why a request that has begun cannot be held. */
  private findRefusal(request: IncomingMessage): ZincringError | undefined {
    const { limits, memory, timers } = this.dependencies;
    if (!this.listener.hasPlaceForRequest(request, limits.callerRequests)) {
      return makeMemoryFullError('too many requests are in progress');
    }
    memory.makeRoom(timers.now());
    return memory.isFull ? makeMemoryFullError('memory is full') : undefined;
  }

  private refuseMalformedRequest(failure: ClientError, socket: Socket): void {
    const { code } = failure;
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

/** Describes why a body was not read; `undefined` if its caller disconnected. */
function describeBody(
  body: Result<Buffer, BodyReadFailure>,
): Result<Buffer, ZincringError> | undefined {
  if (body.ok) {
    return body;
  }
  const reason = body.val;
  switch (reason) {
    case 'broken':
      return undefined;
    case 'memory-full':
      return Err(makeMemoryFullError('the body was given up for others'));
    case 'too-large':
      return Err(new ZincringError('body-too-large'));
    default:
      return reason satisfies never;
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
