import type { Logger, TimerService } from '@zincring/core';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { createServer } from 'node:http';

import { toZincringError, ZincringError } from '@zincring/core';

import type { CallerRouter } from './callerRouter.js';

import { sendError } from './responses.js';
import { classifyParserFailure, refuseConnection } from './refuseConnection.js';

/** Options of a {@link CallerServer}. */
export interface CallerServerOptions {
  readonly router: CallerRouter;
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Maximum size of a request head, in bytes. */
  readonly headLimitBytes: number;
  /** Maximum number of concurrent connections of callers. */
  readonly maximumConnections: number;
  /** Maximum time until a request has arrived completely, in milliseconds. */
  readonly senderTimeoutMilliseconds: number;
}

/** Request in progress and its response. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Interval at which Node.js checks for requests that arrive too slowly, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 500;

/**
 * Idle timeout of connections, in milliseconds. It exceeds the usual idle timeout of load
 * balancers, so that they close idle connections first.
 */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 75_000;

/**
 * Time for which a connection that has sent nothing stays open after the server stops listening, in
 * milliseconds.
 */
const UNUSED_CONNECTION_GRACE_MILLISECONDS = 1_000;

/**
 * HTTP server for callers. Manages connections and refuses requests that are malformed or
 * incomplete.
 */
export class CallerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly exchanges = new Set<Exchange>();
  private isDraining = false;
  private isListenerClosed = false;

  public constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
        headersTimeout: options.senderTimeoutMilliseconds,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
        maxHeaderSize: options.headLimitBytes,
        requestTimeout: options.senderTimeoutMilliseconds,
      },
      (request, response) => {
        this.handleRequest(request, response);
      },
    );
    this.server.on('connection', socket => {
      this.acceptConnection(socket);
    });
    this.server.on('clientError', (failure, socket) => {
      this.refuseMalformed(failure, socket);
    });
    this.server.on('connect', (_request, socket) => {
      refuseConnection(socket, new ZincringError('method-not-allowed'));
    });
  }

  /** Number of requests in progress. */
  public get activeRequestCount(): number {
    return this.exchanges.size;
  }

  /** Listens on an IP address and port. */
  public async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Closes each connection after its response; new requests and connections are still accepted. */
  public closeConnectionsAfterResponses(): void {
    this.isDraining = true;
    for (const { response } of this.exchanges) {
      setConnectionCloseHeader(response);
    }
  }

  /** Stops accepting connections and waits until every request has been answered. */
  public async drain(): Promise<void> {
    this.closeConnectionsAfterResponses();
    this.isListenerClosed = true;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => {
        resolve();
      }),
    );
    this.server.closeIdleConnections();
    const unusedConnectionTimer = this.options.timers.after(
      UNUSED_CONNECTION_GRACE_MILLISECONDS,
      () => {
        this.closeUnusedConnections();
      },
    );
    await closed;
    unusedConnectionTimer.stop();
  }

  private acceptConnection(socket: Socket): void {
    if (this.sockets.size >= this.options.maximumConnections) {
      refuseConnection(socket, new ZincringError('too-many-connections'));
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (socket.destroyed || !this.sockets.has(socket)) {
      return;
    }
    const exchange: Exchange = { request, response };
    this.exchanges.add(exchange);
    response.once('close', () => {
      this.exchanges.delete(exchange);
      if (this.isListenerClosed) {
        setImmediate(() => {
          this.server.closeIdleConnections();
        });
      }
    });
    if (this.isDraining) {
      setConnectionCloseHeader(response);
    }
    this.options.router.handle(request, response).catch((failure: unknown) => {
      const error = toZincringError(failure);
      if (error.kind === 'internal' && !socket.destroyed) {
        this.options.logger.error({ failure: error.message }, 'request failed');
      }
      sendError(response, error);
    });
  }

  /**
   * Refuses input that is not valid HTTP. A response in progress on the same connection belongs to
   * an earlier, complete request and is finished first.
   */
  private refuseMalformed(failure: Error, socket: Duplex): void {
    const unfinishedExchanges = [...this.exchanges].filter(each => each.request.socket === socket);
    const lastExchange = unfinishedExchanges.at(-1);
    if (lastExchange === undefined) {
      refuseConnection(socket, classifyParserFailure(failure));
      return;
    }
    lastExchange.response.once('close', () => {
      socket.destroy();
    });
    if (!lastExchange.request.complete && !lastExchange.response.headersSent) {
      setConnectionCloseHeader(lastExchange.response);
      sendError(lastExchange.response, classifyParserFailure(failure));
    }
  }

  private closeUnusedConnections(): void {
    for (const socket of this.sockets) {
      if (socket.bytesRead === 0) {
        socket.destroy();
      }
    }
  }
}

function setConnectionCloseHeader(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader('connection', 'close');
  }
}
