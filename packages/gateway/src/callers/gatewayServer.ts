import type { Logger, TimerService } from '@zincring/core';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import { createServer } from 'node:http';

import type { CallerLimits } from '../configuration/gatewayConfiguration.js';
import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { RotationWatch } from '../lifecycle/rotationWatch.js';
import type { RequestWire } from './requestFacts.js';
import type { IncomingRequest, RequestPipeline } from './requestPipeline.js';

import { failureText } from '@zincring/core';

import { CallerAnswer } from './callerAnswer.js';
import { listenOn, portOf } from '../util/listen.js';
import { readRequestBody } from './readRequestBody.js';

/** What a {@link GatewayServer} works with. */
export interface GatewayServerParts {
  readonly pipeline: RequestPipeline;
  readonly wire: RequestWire;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Whether callers are served here; otherwise their connections are closed after each answer. */
  readonly isInTouch: () => boolean;
  readonly rotation: RotationWatch;
}

/** Largest headers that the server can be told to accept, in bytes; the operator's limit is checked beside it. */
const HEADER_BYTES = 65_536;
/** Longer than callers use an idle connection, so that they are not cut off, in milliseconds. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
/** Pause between looks for idle connections during a stop, in milliseconds. */
const CLOSE_IDLE_MILLISECONDS = 100;

/**
 * The HTTP server that callers reach.
 *
 * @example
 * const server = new GatewayServer(parts);
 * await server.listen({ host: '10.1.0.11', port: 8368 });
 */
export class GatewayServer {
  private readonly server: Server;
  private isClosing = false;
  private requestsUnderWay = 0;
  private maximumHeaderBytes = HEADER_BYTES;

  public constructor(private readonly parts: GatewayServerParts) {
    this.server = createServer(
      { keepAlive: true, maxHeaderSize: HEADER_BYTES, noDelay: true },
      (request, response) => {
        this.take(request, response);
      },
    );
    this.server.on('connection', () => {
      parts.rotation.noteConnection();
    });
    this.server.on('clientError', (failure: Error, socket) => {
      this.refuseMalformed(failure, socket);
    });
  }

  /** Number of requests that have no whole answer yet. */
  public get underWay(): number {
    return this.requestsUnderWay;
  }

  /** Listens; the port 0 takes any. */
  public async listen(address: ListenAddress): Promise<void> {
    await listenOn(this.server, address);
  }

  /** The port that the server listens on. */
  public get port(): number {
    return portOf(this.server);
  }

  /** Applies the operator's bounds to connections. */
  public applyLimits(limits: CallerLimits): void {
    this.maximumHeaderBytes = limits.maximumHeaderBytes;
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds + IDLE_MARGIN_MILLISECONDS;
    this.server.headersTimeout = limits.headerTimeoutMilliseconds;
  }

  /** Tells callers with each answer that their connection ends. */
  public announceClose(): void {
    this.isClosing = true;
  }

  /** Stops listening and waits until every request has its answer, up to a limit. */
  public async close(limitMilliseconds: number): Promise<void> {
    this.announceClose();
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    const idle = this.parts.timers.every(CLOSE_IDLE_MILLISECONDS, () => {
      this.server.closeIdleConnections();
    });
    const limit = new Promise<void>(resolve => {
      this.parts.timers.after(limitMilliseconds, resolve);
    });
    await Promise.race([closed, limit]);
    idle.stop();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const answer = new CallerAnswer(response, () => this.isClosing || !this.parts.isInTouch());
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    this.requestsUnderWay++;
    response.once('close', () => {
      this.requestsUnderWay--;
    });
    const incoming = this.toIncoming(request, response);
    if (headerBytes(request.rawHeaders) > this.maximumHeaderBytes) {
      answer.sendWhole(431, ['Connection', 'close'], Buffer.alloc(0));
      return;
    }
    this.parts.pipeline.handle(incoming, answer).catch((failure: unknown) => {
      this.parts.logger.error(
        {
          event: 'request-fault',
          failure: failureText(failure),
          request: incoming.facts.requestId,
        },
        'a request met an unexpected fault',
      );
      answer.cut();
    });
  }

  private toIncoming(request: IncomingMessage, response: ServerResponse): IncomingRequest {
    return {
      facts: this.parts.wire.readFacts(request.rawHeaders),
      headers: request.rawHeaders,
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      onCallerLeft: listener => {
        response.once('close', () => {
          if (!response.writableFinished) {
            listener();
          }
        });
      },
      path: request.url ?? '/',
      readBody: async maximumBytes => await readRequestBody(request, maximumBytes),
      receivedAt: this.parts.timers.now(),
    };
  }

  private refuseMalformed(failure: Error, socket: Duplex): void {
    const { code } = failure as { readonly code?: string };
    this.parts.logger.info(
      { event: 'malformed-request', failure: code ?? failure.message },
      'a connection sent no valid request',
    );
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = statusOfMalformed(code);
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}

function statusOfMalformed(code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return '431 Request Header Fields Too Large';
  }
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request';
}

function headerBytes(headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}
