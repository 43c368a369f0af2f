import type { BytePacer, IntakeTurns, Logger, TimerService } from '@zincring/core';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { createServer } from 'node:http';

import type { HeldMemory } from '../callers/memory/heldMemory.js';
import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { ClientChecks } from './clientChecks.js';
import type { ConnectionLimits, ListenerLimits } from './listenerLimits.js';
import type { ConnectionIntakeDependencies } from './connectionIntake.js';

import { countUnsentBytes } from '../callers/memory/countUnsentBytes.js';
import { MAXIMUM_PARSED_HEADER_BYTES } from '../util/httpLimits.js';
import { getPort, listenOn } from '../util/listen.js';
import { ConnectionIntake } from './connectionIntake.js';
import { ConnectionTable } from './connectionTable.js';
import { QueuedResponses } from './queuedResponses.js';
import { RequestBody } from './requestBody.js';

/** Why a listener closed a connection of a client, in logs and metrics. */
export type ClosingReason =
  'late' | 'malformed' | 'memory-full' | 'replaced' | 'too-many' | 'unread';

/** Error of the bytes that a client sent, or of their absence. */
export interface ClientError extends Error {
  /** Code of Node's parser or server. */
  readonly code?: string;
}

/** What all listeners of an instance share. */
export interface ListenerContext {
  readonly limits: ListenerLimits;
  readonly logger: Logger;
  /** Run once a second. */
  readonly checks: ClientChecks;
  /** What is received of clients. */
  readonly memory: HeldMemory;
  /** Responses that their callers have yet to read. */
  readonly responseMemory: HeldMemory;
  readonly metrics: GatewayMetrics;
  readonly pacer: BytePacer;
  readonly timers: TimerService;
  readonly turns: IntakeTurns;
}

/** Properties of one listener. */
export interface ListenerOptions {
  readonly name: keyof ConnectionLimits;
  /** Time for which a client may be silent in the middle of a message or leave a response unread, in milliseconds. */
  readonly silenceMilliseconds: number;
  /** Time for a head to arrive, in milliseconds. */
  readonly headMilliseconds: number;
  /**
   * Called for a connection with bytes that are no request, or with a request that does not arrive in
   * time, to close it; it is closed at once by default.
   */
  readonly onMalformed?: (failure: ClientError, connection: Socket) => void;
}

const STATUS_EXPECTATION_FAILED = 417;
/** Code of the error of a request that does not arrive in time. */
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Code of the error of a connection that its client has reset. */
const DISCONNECTED_CODE = 'ECONNRESET';

/** Output of a connection at the last check at which its client had read some of it. */
interface UnreadOutput {
  readonly bytes: number;
  readonly since: number;
}

/**
 * HTTP server of an instance that bounds what its clients take up: connections, bytes that wait to be
 * parsed, requests in progress on a connection, and the time for which a client may be silent.
 *
 * @example
 * const listener = new HttpListener(options, context, (request, response) => response.end('alive'));
 * await listener.listen({ host: '10.1.0.11', port: 8369 });
 */
export class HttpListener {
  /** For event listeners and closing; it is made to listen by {@link HttpListener.listen}. */
  public readonly server: Server;
  /** Responses that wait behind others of their connection. */
  public readonly queuedResponses = new QueuedResponses();
  private readonly table: ConnectionTable;
  private readonly unread = new WeakMap<Socket, UnreadOutput>();
  private readonly intakeDependencies: ConnectionIntakeDependencies;
  private requestCount = 0;
  private headMilliseconds: number;
  private silenceMilliseconds: number;

  public constructor(
    private readonly options: ListenerOptions,
    private readonly context: ListenerContext,
    handle: RequestListener,
  ) {
    this.headMilliseconds = options.headMilliseconds;
    this.silenceMilliseconds = options.silenceMilliseconds;
    this.intakeDependencies = {
      memory: context.memory,
      onDropped: () => {
        this.recordClosing('memory-full');
      },
      onRequestEnded: () => {
        this.requestCount--;
      },
      timers: context.timers,
      turns: context.turns,
    };
    this.table = new ConnectionTable(context.limits.connections[options.name], () => {
      this.recordClosing('replaced');
    });
    this.server = createServer(
      {
        keepAlive: true,
        maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
        noDelay: true,
      },
      this.track(handle),
    );
    this.server.on(
      'checkExpectation',
      this.track((_request, response) => {
        response.writeHead(STATUS_EXPECTATION_FAILED, { Connection: 'close', 'Content-Length': 0 });
        response.end();
      }),
    );
    this.server.on('connection', socket => {
      this.accept(socket);
    });
    context.checks.add(now => {
      this.check(now);
    });
    this.server.on('clientError', (failure: ClientError, socket: Socket) => {
      // A connection may be opened some time before its first request.
      if (failure.code !== REQUEST_TIMEOUT_CODE || this.table.find(socket)?.isUnused === false) {
        this.handleMalformed(failure, socket);
      }
    });
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Port on which the listener listens. */
  public get port(): number {
    return getPort(this.server);
  }

  /** Requests whose response is not complete. */
  public get requestsInProgress(): number {
    return this.requestCount;
  }

  /** Handles requests whose sender waits for an interim response before it sends the body. */
  public onExpectContinue(handle: RequestListener): void {
    this.server.on('checkContinue', this.track(handle));
  }

  /** Changes the times that a client may take, in milliseconds. */
  public setTimes({
    headMilliseconds,
    silenceMilliseconds,
  }: Pick<ListenerOptions, 'headMilliseconds' | 'silenceMilliseconds'>): void {
    this.headMilliseconds = headMilliseconds;
    this.silenceMilliseconds = silenceMilliseconds;
  }

  /** Whether a request that has begun finds a place among those that may be in progress. */
  public hasPlaceForRequest({ socket }: IncomingMessage, maximum: number): boolean {
    return this.table.hasPlaceForRequest(socket, this.requestCount - 1, maximum);
  }

  /** Starts to read the body of a request, up to a maximum size in bytes. */
  public readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
  ): RequestBody {
    const { memory, timers } = this.context;
    const intake = this.table.find(request.socket);
    return new RequestBody(request, response, {
      maximumBytes,
      memory,
      onPiece: () => intake?.recordBody(),
      timers,
    });
  }

  /** Whether the request that a connection begins now was sent before the responses to those before it. */
  public isBeginningSentAhead(connection: Socket): boolean {
    return this.table.find(connection)?.isBeginningSentAhead === true;
  }

  /** Lets what has been sent behind a refused request wait, as its sender is told to. */
  public defer(connection: Socket, milliseconds: number): void {
    this.table.find(connection)?.defer(milliseconds);
  }

  /** Whether a connection has sent more behind the requests in progress. */
  public hasWaitingBytes(connection: Socket): boolean {
    return this.table.find(connection)?.hasWaitingBytes === true;
  }

  /** Closes the server and its connections immediately. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private track(handle: RequestListener): RequestListener {
    return (request, response) => {
      const { socket } = request;
      this.begin(request, response);
      this.queuedResponses.add(response, socket);
      handle(request, response);
    };
  }

  private begin(request: IncomingMessage, response: ServerResponse): void {
    const intake = this.table.find(request.socket);
    if (intake !== undefined) {
      this.requestCount++;
      intake.begin(request, response);
    }
  }

  private accept(socket: Socket): void {
    if (!this.table.add(socket, new ConnectionIntake(socket, this.intakeDependencies))) {
      this.recordClosing('too-many');
      socket.resetAndDestroy();
    }
  }

  private check(now: number): void {
    let waitingCount = 0;
    for (const [socket, intake] of this.table.entries()) {
      waitingCount += intake.hasWaitingBytes ? 1 : 0;
      if (this.isLate(intake, now)) {
        this.giveUpRequest(socket);
      }
      this.checkUnread(socket, now);
      if (intake.isFinished) {
        socket.destroy();
      }
    }
    this.reportConnections(waitingCount);
  }

  private reportConnections(waitingCount: number): void {
    const { logger, metrics } = this.context;
    const { name: listener } = this.options;
    metrics.connections.set({ listener }, this.table.size);
    metrics.waitingConnections.set({ listener }, waitingCount);
    if (waitingCount > 0) {
      logger.info(
        { connections: this.table.size, event: 'clients-wait', listener, waiting: waitingCount },
        'what clients have sent waits for its turn',
      );
    }
  }

  private isLate(intake: ConnectionIntake, now: number): boolean {
    const { headStartedAt, isBodyIncomplete, isUnused, lastArrivalAt } = intake;
    // A client whose bytes wait to be parsed is not the one that is late.
    if (intake.hasStopped || intake.hasWaitingBytes) {
      return false;
    }
    if (headStartedAt !== undefined && now - headStartedAt > this.headMilliseconds) {
      return true;
    }
    return (isBodyIncomplete || isUnused) && now - lastArrivalAt > this.silenceMilliseconds;
  }

  /** Ends a request that does not arrive, as Node does when its head takes too long. */
  private giveUpRequest(socket: Socket): void {
    const failure = Object.assign(new Error('the request does not arrive'), {
      code: REQUEST_TIMEOUT_CODE,
    });
    this.handleMalformed(failure, socket);
  }

  /** Closes a connection whose client has read nothing of its responses for too long. */
  private checkUnread(socket: Socket, now: number): void {
    const bytes = socket.writableLength + countUnsentBytes(socket);
    const known = this.unread.get(socket);
    if (bytes === 0) {
      this.unread.delete(socket);
    } else if (known?.bytes !== bytes) {
      this.unread.set(socket, { bytes, since: now });
    } else if (now - known.since > this.silenceMilliseconds) {
      this.recordClosing('unread');
      socket.resetAndDestroy();
    }
  }

  private handleMalformed(failure: ClientError, socket: Socket): void {
    this.table.find(socket)?.stop();
    if (failure.code !== DISCONNECTED_CODE) {
      this.recordClosing(failure.code === REQUEST_TIMEOUT_CODE ? 'late' : 'malformed');
    }
    if (this.options.onMalformed === undefined) {
      socket.destroy();
    } else {
      this.options.onMalformed(failure, socket);
    }
  }

  private recordClosing(reason: ClosingReason): void {
    const { logger, memory, metrics } = this.context;
    const { name } = this.options;
    metrics.closedConnections.inc({ listener: name, reason });
    logger.warn(
      {
        connections: this.table.size,
        event: 'connection-closed',
        held: memory.bytes,
        listener: name,
        reason,
      },
      'closes the connection of a client',
    );
  }
}
