import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { TimerService } from '../time/timerService.js';
import type { IntakeTurns, WaitingIntake } from './intakeTurns.js';

/** What is told of the reading of a response. */
export interface ResponseObserver {
  /** Called after a piece has been parsed. */
  readonly onData?: () => void;
  /** Called once, when more of the response has been read in turns than ordinary responses have. */
  readonly onFlood?: () => void;
}

/** What a {@link ResponseIntake} needs. */
export interface ResponseIntakeDependencies {
  readonly timers: TimerService;
  readonly turns: IntakeTurns;
  readonly observer: ResponseObserver;
}

/** Node's listener for the bytes of a connection, which parses them. */
type Parse = (this: Socket, bytes: Buffer) => void;

/** Bytes that are parsed as they arrive, at once and for each millisecond; for the rest a response takes turns. */
const UNDIVIDED = { bytes: 65_536, perMillisecond: 64 };
/** Most bytes that are parsed in one turn. */
const MAXIMUM_TURN_BYTES = 8_192;
/** Maximum size of everything before the end of the head of a response, in bytes: more than the parser accepts as a head. */
const MAXIMUM_HEAD_BYTES = 65_536;
/** Bytes in turns above which a response is reported. */
const FLOOD_BYTES = 2 * 1024 * 1024;

/**
 * Hands what a server sends to Node's HTTP parser. A response that is larger or faster than ordinary ones takes
 * turns with others: the parser makes objects of every chunk, so that some kilobytes can take milliseconds.
 * Bytes without end that never become a head fail the request.
 *
 * @example
 * outgoing.on('socket', socket => new ResponseIntake(outgoing, socket, dependencies));
 */
export class ResponseIntake implements WaitingIntake {
  private readonly parse: Parse;
  private incoming: IncomingMessage | undefined;
  /** Bytes before the end of the head, informational responses included. */
  private headBytes = 0;
  private undividedBytes = UNDIVIDED.bytes;
  private updatedAt: number;
  private turnBytes = 0;
  private isTurn = false;

  public constructor(
    private readonly outgoing: ClientRequest,
    private readonly socket: Socket,
    private readonly dependencies: ResponseIntakeDependencies,
  ) {
    const [parse] = socket.listeners('data') as Parse[];
    if (parse === undefined) {
      throw new Error('the HTTP client does not listen for the bytes of its connection');
    }
    this.parse = parse;
    this.updatedAt = dependencies.timers.now();
    const accept = (bytes: Buffer): void => {
      this.accept(bytes);
    };
    const holdBack = (): void => {
      this.holdBack();
    };
    socket.off('data', parse);
    socket.on('data', accept);
    // Node resumes a connection for the next piece of a body, whatever waits here.
    socket.on('resume', holdBack);
    outgoing.once('response', incoming => {
      this.incoming = incoming;
    });
    outgoing.once('close', () => {
      dependencies.turns.remove(this);
      socket.off('data', accept);
      socket.off('resume', holdBack);
      if (socket.readableLength > 0) {
        // What follows a response belongs to no request, so the connection cannot be used again.
        socket.destroy();
      }
    });
  }

  public get canParse(): boolean {
    return !this.socket.destroyed && this.socket.readableLength > 0 && !this.isBodyFull;
  }

  public takeTurn(): number {
    if (!this.canParse) {
      return 0;
    }
    const bytes = Math.min(MAXIMUM_TURN_BYTES, this.socket.readableLength);
    this.isTurn = true;
    // Reading reports the bytes to the listener for data too.
    this.socket.read(bytes);
    this.isTurn = false;
    this.recordTurn(bytes);
    if (this.socket.readableLength === 0 && !this.isBodyFull) {
      this.socket.resume();
    }
    return bytes;
  }

  /** Whether the reader of the body has to go on first. */
  private get isBodyFull(): boolean {
    const { incoming } = this;
    return incoming !== undefined && incoming.readableLength >= incoming.readableHighWaterMark;
  }

  private accept(bytes: Buffer): void {
    if (this.isTurn) {
      this.parsePiece(bytes);
      return;
    }
    const undivided = this.takeUndivided(bytes.length);
    if (undivided > 0) {
      this.parsePiece(bytes.subarray(0, undivided));
    }
    if (undivided < bytes.length && !this.socket.destroyed) {
      this.socket.pause();
      this.socket.unshift(bytes.subarray(undivided));
      this.waitForTurn();
    }
  }

  private holdBack(): void {
    if (this.socket.readableLength > 0) {
      this.socket.pause();
      this.waitForTurn();
    }
  }

  private waitForTurn(): void {
    if (this.canParse) {
      this.dependencies.turns.add(this);
    }
  }

  private parsePiece(bytes: Buffer): void {
    if (this.incoming?.complete === true) {
      // What follows a response belongs to no request.
      this.socket.destroy();
      return;
    }
    this.parse.call(this.socket, bytes);
    this.dependencies.observer.onData?.();
    this.headBytes += bytes.length;
    if (this.incoming === undefined && this.headBytes > MAXIMUM_HEAD_BYTES) {
      this.outgoing.destroy(
        new Error(`no head of a response within ${String(MAXIMUM_HEAD_BYTES)} bytes`),
      );
    }
  }

  /** Returns how many bytes may be parsed without a turn. */
  private takeUndivided(bytes: number): number {
    const now = this.dependencies.timers.now();
    const earnedBytes = (now - this.updatedAt) * UNDIVIDED.perMillisecond;
    this.updatedAt = now;
    this.undividedBytes = Math.min(UNDIVIDED.bytes, this.undividedBytes + earnedBytes);
    const taken = Math.min(bytes, Math.floor(this.undividedBytes));
    this.undividedBytes -= taken;
    return taken;
  }

  private recordTurn(bytes: number): void {
    const hadFlooded = this.turnBytes > FLOOD_BYTES;
    this.turnBytes += bytes;
    if (!hadFlooded && this.turnBytes > FLOOD_BYTES) {
      this.dependencies.observer.onFlood?.();
    }
  }
}
