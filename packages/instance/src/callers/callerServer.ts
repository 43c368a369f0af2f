import type { Logger, TimerService } from '@zincring/core';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { createServer } from 'node:http';

import { toZincringError, ZincringError } from '@zincring/core';

import type { CallerRouter } from './callerRouter.js';

import { sendError } from './answers.js';
import { classifyParserFailure, refuseConnection } from './refuseConnection.js';

/** What serving callers needs. */
export interface CallerServerOptions {
  readonly router: CallerRouter;
  readonly logger: Logger;
  readonly timers: TimerService;
  /** Largest head accepted, in bytes. */
  readonly headLimitBytes: number;
  /** Most connections of callers at a time. */
  readonly maximumConnections: number;
  /** Longest time that a request may take to arrive, in milliseconds. */
  readonly senderTimeoutMilliseconds: number;
}

/** A request that is being answered. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How often Node.js looks for requests that arrive too slowly, in milliseconds. */
const CONNECTION_CHECK_MILLISECONDS = 500;

/** Idle connections outlive the usual idle time of balancers, so that these close them first. */
const KEEP_ALIVE_MILLISECONDS = 75_000;

/** How long a connection without a request is kept once no new ones are taken, in milliseconds. */
const UNUSED_CONNECTION_MILLISECONDS = 1_000;

/** The HTTP interface of callers: connections, and what is wrong before a request is whole. */
export class CallerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly exchanges = new Set<Exchange>();
  private isDraining = false;
  private isClosed = false;

  public constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {
        connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
        headersTimeout: options.senderTimeoutMilliseconds,
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        maxHeaderSize: options.headLimitBytes,
        requestTimeout: options.senderTimeoutMilliseconds,
      },
      (request, response) => {
        this.answer(request, response);
      },
    );
    this.server.on('connection', socket => {
      this.accept(socket);
    });
    this.server.on('clientError', (failure, socket) => {
      this.refuseMalformed(failure, socket);
    });
    this.server.on('connect', (_request, socket) => {
      refuseConnection(socket, new ZincringError('method-not-allowed'));
    });
  }

  /** Requests that are being answered. */
  public get activeRequests(): number {
    return this.exchanges.size;
  }

  /** Listens on an IP number and port. */
  public async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Closes each connection after its answer; requests and connections are still taken. */
  public closeConnectionsAfterAnswers(): void {
    this.isDraining = true;
    for (const { response } of this.exchanges) {
      announceClose(response);
    }
  }

  /** Takes no new connections and waits until every request is answered. */
  public async drain(): Promise<void> {
    this.closeConnectionsAfterAnswers();
    this.isClosed = true;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => {
        resolve();
      }),
    );
    this.server.closeIdleConnections();
    const unused = this.options.timers.after(UNUSED_CONNECTION_MILLISECONDS, () => {
      this.closeUnusedConnections();
    });
    await closed;
    unused.stop();
  }

  private accept(socket: Socket): void {
    if (this.sockets.size >= this.options.maximumConnections) {
      refuseConnection(socket, new ZincringError('too-many-connections'));
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (socket.destroyed || !this.sockets.has(socket)) {
      return;
    }
    const exchange: Exchange = { request, response };
    this.exchanges.add(exchange);
    response.once('close', () => {
      this.exchanges.delete(exchange);
      if (this.isClosed) {
        setImmediate(() => {
          this.server.closeIdleConnections();
        });
      }
    });
    if (this.isDraining) {
      announceClose(response);
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
   * Refuses what is not HTTP. An answer that is under way on the connection belongs to an earlier
   * request, which is whole, and is finished first.
   */
  private refuseMalformed(failure: Error, socket: Duplex): void {
    const pending = [...this.exchanges].filter(each => each.request.socket === socket);
    const last = pending.at(-1);
    if (last === undefined) {
      refuseConnection(socket, classifyParserFailure(failure));
      return;
    }
    last.response.once('close', () => {
      socket.destroy();
    });
    if (!last.request.complete && !last.response.headersSent) {
      announceClose(last.response);
      sendError(last.response, classifyParserFailure(failure));
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

function announceClose(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader('connection', 'close');
  }
}
