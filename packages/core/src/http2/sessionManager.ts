import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import { connect } from 'node:http2';

import type { TimerService, TimerSubscription } from '../time/timerService.js';

/** Options of the ping check on a connection with open streams. */
export interface SessionCheckOptions {
  /** Idle time after which the peer is pinged, and interval of the check, in milliseconds. */
  readonly intervalMilliseconds: number;
  /** Maximum wait for a ping acknowledgement before the connection is closed, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/**
 * Manages one HTTP/2 connection to an authority, opened on demand, for a Connect transport. The
 * error listener stays for the lifetime of the connection: a late error, for example because
 * another process listens at the address, fails calls but never becomes an uncaught exception.
 *
 * @example
 * createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
 */
export class SessionManager {
  private session: ClientHttp2Session | undefined;
  private checkTimer: TimerSubscription | undefined;
  private openStreams = 0;
  private lastActivityAt = 0;

  public constructor(
    public readonly authority: string,
    private readonly timers: TimerService,
    private readonly checkOptions?: SessionCheckOptions,
  ) {}

  /** Opens a stream; a failed connection is reported as an error of the stream. */
  public async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = this.getOrOpenSession().request(
      { ...headers, ':method': method, ':path': path },
      options,
    );
    // Only the first open stream counts as activity: a silent connection must not appear alive
    // because new streams are opened on it.
    if (this.openStreams++ === 0) {
      this.lastActivityAt = this.timers.now();
    }
    stream.once('close', () => {
      this.openStreams--;
    });
    return await Promise.resolve(stream);
  }

  /** Records that the peer has sent data or acknowledged a ping. */
  public notifyResponseByteRead(): void {
    this.lastActivityAt = this.timers.now();
  }

  /** Closes the connection and fails its streams. */
  public abort(): void {
    this.session?.destroy();
    this.discardSession();
  }

  private getOrOpenSession(): ClientHttp2Session {
    if (this.session !== undefined && !this.session.closed && !this.session.destroyed) {
      return this.session;
    }
    this.discardSession();
    const session = connect(this.authority);
    session.on('error', () => {
      this.discardIfCurrent(session);
    });
    session.on('goaway', () => {
      this.discardIfCurrent(session);
    });
    session.on('close', () => {
      this.discardIfCurrent(session);
    });
    session.unref();
    this.session = session;
    this.startChecking(session);
    return session;
  }

  private startChecking(session: ClientHttp2Session): void {
    const { checkOptions } = this;
    if (checkOptions === undefined) {
      return;
    }
    this.checkTimer = this.timers.every(checkOptions.intervalMilliseconds, () => {
      const idleMilliseconds = this.timers.now() - this.lastActivityAt;
      if (
        this.openStreams > 0 &&
        idleMilliseconds >= checkOptions.intervalMilliseconds &&
        !session.connecting
      ) {
        this.ping(session, checkOptions.timeoutMilliseconds);
      }
    });
  }

  private ping(session: ClientHttp2Session, timeoutMilliseconds: number): void {
    if (session.destroyed) {
      return;
    }
    const pingTimeout = this.timers.after(timeoutMilliseconds, () => {
      session.destroy(new Error('the peer did not acknowledge an HTTP/2 ping in time'));
    });
    session.ping(() => {
      pingTimeout.stop();
      this.notifyResponseByteRead();
    });
  }

  private discardIfCurrent(session: ClientHttp2Session): void {
    if (this.session === session) {
      this.discardSession();
    }
  }

  private discardSession(): void {
    this.checkTimer?.stop();
    this.checkTimer = undefined;
    this.session = undefined;
  }
}
