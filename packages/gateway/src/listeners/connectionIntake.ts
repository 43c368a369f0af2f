import type { IntakeTurns, TimerService, TimerSubscription, WaitingIntake } from '@zincring/core';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Droppable, HeldMemory, ReleaseMemory } from '../callers/memory/heldMemory.js';

import { BlankLineFinder } from './blankLineFinder.js';

/** What a {@link ConnectionIntake} needs. */
export interface ConnectionIntakeDependencies {
  readonly memory: HeldMemory;
  readonly timers: TimerService;
  readonly turns: IntakeTurns;
  /** Called before a connection is closed because of the memory that its bytes take. */
  readonly onDropped: () => void;
  /** Called when the response to a request has been taken over by the system, or its connection is closed. */
  readonly onRequestEnded: () => void;
}

/** Node's listener for the bytes of a connection, which parses them. */
type Parse = (this: Socket, bytes: Buffer) => void;

/** Requests of one connection that may be in progress at a time; further ones wait unread. */
const MAXIMUM_REQUESTS_IN_PROGRESS = 4;
/** Bytes of a message that are parsed as they arrive; for the rest its connection takes turns with others. */
const UNDIVIDED_BYTES = 65_536;
/** Most bytes of a head or of chunks that are parsed in one turn; a body with a length costs less. */
const MAXIMUM_TURN_BYTES = 8_192;
/** Bytes that wait to be parsed above which no more are read from the connection. */
const MAXIMUM_WAITING_BYTES = 16_384;
/** Memory that a request takes besides its head and its body, in bytes. */
export const REQUEST_COST_BYTES = 32_768;
/** Bytes outside of its requests that the bound of the number of connections allows for each. */
const CONNECTION_BYTES = 16_384;

/**
 * Hands the bytes of one connection to Node's HTTP parser, never past the end of a message, so that
 * what the connection sends ahead stays bytes until its requests may begin. The parser makes objects of
 * some kilobytes of a request of some bytes, and one of every chunk.
 *
 * @example
 * server.on('connection', socket => new ConnectionIntake(socket, dependencies));
 */
export class ConnectionIntake implements Droppable, WaitingIntake {
  private readonly parse: Parse;
  private readonly blankLines = new BlankLineFinder();
  /** Request whose end has not been parsed yet. */
  private incomplete: IncomingMessage | undefined;
  /** Bytes that its body still has by its length; `undefined` for a body in chunks. */
  private remainingBytes: number | undefined;
  /** Requests whose response has not been taken over by the system. */
  private inProgressCount = 0;
  /** Bytes of a head, or of trailers, whose end has not been parsed yet. */
  private headBytes = 0;
  /** Bytes of the current message that have been parsed. */
  private messageBytes = 0;
  private waiting: Buffer | undefined;
  private releaseHeld: ReleaseMemory | undefined;
  private heldFrom = 0;
  /** Whether no more is read. */
  private isStopped = false;
  private isPaused = false;
  private isTurn = false;
  /** Runs while what was sent behind a refused request waits. */
  private deferral: TimerSubscription | undefined;
  private isSilent = true;
  private headStart = 0;
  private lastArrival: number;

  public constructor(
    private readonly socket: Socket,
    private readonly dependencies: ConnectionIntakeDependencies,
  ) {
    this.lastArrival = dependencies.timers.now();
    const [parse] = socket.listeners('data') as Parse[];
    if (parse === undefined) {
      throw new Error('the HTTP server does not listen for the bytes of its connection');
    }
    this.parse = parse;
    socket.off('data', parse);
    socket.on('data', (bytes: Buffer) => {
      this.accept(bytes);
    });
    socket.on('resume', () => {
      // Node resumes a connection for the next piece of a body, whatever waits here.
      this.pauseOrResume();
      this.continueParsing();
    });
    socket.once('end', () => {
      this.discardWaiting();
    });
    socket.once('close', () => {
      this.discardWaiting();
      this.settle();
    });
  }

  /** Whether a request that was received completely is in progress. */
  public get hasCompleteRequest(): boolean {
    return this.inProgressCount > (this.incomplete === undefined ? 0 : 1);
  }

  /** Whether the head of a request has been received, but not its end. */
  public get isBodyIncomplete(): boolean {
    return this.incomplete !== undefined;
  }

  /** Whether bytes were sent behind the requests in progress. */
  public get hasWaitingBytes(): boolean {
    return this.waiting !== undefined;
  }

  /** Whether nothing is read any more. */
  public get hasStopped(): boolean {
    return this.isStopped;
  }

  /** Whether nothing is read any more and all complete requests have been answered, so that it can be closed. */
  public get isFinished(): boolean {
    return this.isStopped && !this.hasCompleteRequest && this.socket.writableLength === 0;
  }

  /** Whether the client has sent nothing since it connected. */
  public get isUnused(): boolean {
    return this.isSilent;
  }

  /** Whether the request that begins now was sent before the responses to those before it. */
  public get isBeginningSentAhead(): boolean {
    return this.isTurn;
  }

  /** Requests in progress. */
  public get requestCount(): number {
    return this.inProgressCount;
  }

  /** Time at which a head began whose end has not been received, on the monotonic clock in milliseconds. */
  public get headStartedAt(): number | undefined {
    return this.incomplete === undefined && this.headBytes > 0 ? this.headStart : undefined;
  }

  /** Time at which bytes arrived last, on the monotonic clock in milliseconds. */
  public get lastArrivalAt(): number {
    return this.lastArrival;
  }

  /** Bytes that this connection holds outside of its requests, beyond what every connection may. */
  public get heldBytes(): number {
    return Math.max(0, this.headBytes + (this.waiting?.length ?? 0) - CONNECTION_BYTES);
  }

  public get heldSince(): number {
    return this.heldFrom;
  }

  /** Records a request whose head has been parsed. */
  public begin(request: IncomingMessage, response: ServerResponse): void {
    this.inProgressCount++;
    const length = request.headers['content-length'];
    this.incomplete = request;
    this.remainingBytes =
      request.headers['transfer-encoding'] === undefined ? Number(length ?? 0) : undefined;
    const release = this.dependencies.memory.hold(this.headBytes);
    this.headBytes = 0;
    response.once('close', () => {
      release();
      this.inProgressCount--;
      this.dependencies.onRequestEnded();
      this.continueParsing();
    });
  }

  public takeTurn(): number {
    if (!this.canParse) {
      return 0;
    }
    const isHead = this.incomplete === undefined;
    this.isTurn = true;
    const bytes = this.parseSlice();
    this.isTurn = false;
    this.settle();
    return isHead ? bytes + REQUEST_COST_BYTES : bytes;
  }

  /** Reads no more of the connection, which is closed once its complete requests have been answered. */
  public drop(): void {
    this.dependencies.onDropped();
    this.stop();
    if (!this.hasCompleteRequest) {
      this.socket.destroy();
    }
  }

  /** Reads no more of the connection, which is about to be closed. */
  public stop(): void {
    this.isStopped = true;
    this.headBytes = 0;
    this.discardWaiting();
    this.settle();
  }

  private accept(bytes: Buffer): void {
    this.lastArrival = this.dependencies.timers.now();
    this.isSilent = false;
    if (this.isStopped) {
      return;
    }
    this.waiting = this.waiting === undefined ? bytes : Buffer.concat([this.waiting, bytes]);
    while (this.canParse) {
      if (this.takesTurns()) {
        this.dependencies.turns.add(this);
        break;
      }
      this.parseSlice();
    }
    this.settle();
  }

  /** Lets what has been sent behind a refused request wait, as its sender is told to. */
  public defer(milliseconds: number): void {
    if (this.waiting === undefined || this.incomplete !== undefined) {
      return;
    }
    const { timers, turns } = this.dependencies;
    turns.remove(this);
    this.deferral?.stop();
    this.deferral = timers.after(milliseconds, () => {
      this.deferral = undefined;
      this.continueParsing();
    });
  }

  /** Records that a piece of a body has been parsed, so that what came before it is no part of the trailers. */
  public recordBody(): void {
    this.headBytes = 0;
  }

  /** Whether the next bytes may be parsed. */
  public get canParse(): boolean {
    if (this.waiting === undefined || this.socket.destroyed || isPausedByServer(this.socket)) {
      return false;
    }
    return this.incomplete !== undefined || this.canBegin;
  }

  /** Whether a further request may begin. */
  private get canBegin(): boolean {
    return this.deferral === undefined && this.inProgressCount < MAXIMUM_REQUESTS_IN_PROGRESS;
  }

  /** Whether the next bytes cost more than those of an ordinary request. */
  private takesTurns(): boolean {
    if (this.incomplete === undefined) {
      return this.inProgressCount > 0 || this.headBytes >= MAXIMUM_TURN_BYTES;
    }
    return this.messageBytes >= UNDIVIDED_BYTES;
  }

  /** Parses bytes up to the end of a message at most; returns their number. */
  private parseSlice(): number {
    const { waiting } = this;
    if (waiting === undefined) {
      return 0;
    }
    const end = this.findSliceEnd(waiting);
    const slice = waiting.subarray(0, end);
    this.waiting = end === waiting.length ? undefined : waiting.subarray(end);
    this.messageBytes += end;
    if (this.incomplete !== undefined && this.remainingBytes !== undefined) {
      this.remainingBytes -= end;
    } else {
      this.headStart = this.headBytes === 0 ? this.dependencies.timers.now() : this.headStart;
      this.headBytes += end;
    }
    this.parse.call(this.socket, slice);
    if (this.incomplete?.complete === true) {
      this.incomplete = undefined;
      this.messageBytes = 0;
      this.headBytes = 0;
    }
    return end;
  }

  private findSliceEnd(waiting: Buffer): number {
    if (this.incomplete !== undefined && this.remainingBytes !== undefined) {
      return Math.min(waiting.length, Math.max(1, this.remainingBytes));
    }
    return this.blankLines.advance(waiting, MAXIMUM_TURN_BYTES);
  }

  private continueParsing(): void {
    if (this.canParse) {
      this.dependencies.turns.add(this);
    }
  }

  private discardWaiting(): void {
    this.waiting = undefined;
    this.deferral?.stop();
    this.deferral = undefined;
    this.dependencies.turns.remove(this);
  }

  /** Counts what is held, and reads from the connection only while little waits. */
  private settle(): void {
    this.countHeld();
    this.pauseOrResume();
  }

  private countHeld(): void {
    const { memory, timers } = this.dependencies;
    const bytes = this.socket.destroyed ? 0 : this.heldBytes;
    if (bytes === 0 && this.releaseHeld === undefined) {
      return;
    }
    this.releaseHeld?.();
    if (bytes === 0) {
      this.releaseHeld = undefined;
      memory.removeDroppable(this);
      return;
    }
    if (this.releaseHeld === undefined) {
      this.heldFrom = timers.now();
      memory.addDroppable(this);
    }
    this.releaseHeld = memory.hold(bytes);
    memory.makeRoom(timers.now());
  }

  private pauseOrResume(): void {
    if (this.isStopped || (this.waiting?.length ?? 0) > MAXIMUM_WAITING_BYTES) {
      this.isPaused = true;
      this.socket.pause();
    } else if (this.isPaused && !isPausedByServer(this.socket)) {
      this.isPaused = false;
      this.socket.resume();
    }
  }
}

/** Whether Node's server has paused a connection because its responses are not read; it parses nothing then. */
function isPausedByServer(socket: Socket): boolean {
  return (socket as { readonly _paused?: boolean })._paused === true;
}
