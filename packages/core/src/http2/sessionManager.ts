import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import { connect } from 'node:http2';

import type { TimerService, TimerSubscription } from '../time/timerService.js';

/** When a connection with open streams is checked. */
export interface SessionCheckOptions {
  /** Silence after which the other end is pinged, in milliseconds. */
  readonly intervalMilliseconds: number;
  /** How long a ping may take before the connection counts as broken, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/**
 * One HTTP/2 connection to an authority, made on demand, for a Connect transport. Its errors
 * are listened to for as long as it exists: an error that comes after a call has failed, as when
 * another program answers at the address, fails calls and never the process.
 *
 * @example
 * createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
 */
export class SessionManager {
  private session: ClientHttp2Session | undefined;
  private checking: TimerSubscription | undefined;
  private openStreams = 0;
  private heardAt = 0;

  public constructor(
    public readonly authority: string,
    private readonly timers: TimerService,
    private readonly check?: SessionCheckOptions,
  ) {}

  /** Opens a stream; a connection that fails shows as an error of the stream. */
  public async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = this.usableSession().request(
      { ...headers, ':method': method, ':path': path },
      options,
    );
    // Further streams on a silent connection must not make it look alive.
    if (this.openStreams++ === 0) {
      this.heardAt = this.timers.now();
    }
    stream.once('close', () => {
      this.openStreams--;
    });
    return await Promise.resolve(stream);
  }

  /** Takes in that the other end lives. */
  public notifyResponseByteRead(): void {
    this.heardAt = this.timers.now();
  }

  /** Closes the connection and fails its streams. */
  public abort(): void {
    this.session?.destroy();
    this.forget();
  }

  private usableSession(): ClientHttp2Session {
    if (this.session !== undefined && !this.session.closed && !this.session.destroyed) {
      return this.session;
    }
    this.forget();
    const session = connect(this.authority);
    session.on('error', () => {
      this.forgetIf(session);
    });
    session.on('goaway', () => {
      this.forgetIf(session);
    });
    session.on('close', () => {
      this.forgetIf(session);
    });
    session.unref();
    this.session = session;
    this.startChecking(session);
    return session;
  }

  private startChecking(session: ClientHttp2Session): void {
    const { check } = this;
    if (check === undefined) {
      return;
    }
    this.checking = this.timers.every(check.intervalMilliseconds, () => {
      const silence = this.timers.now() - this.heardAt;
      if (this.openStreams > 0 && silence >= check.intervalMilliseconds && !session.connecting) {
        this.ping(session, check.timeoutMilliseconds);
      }
    });
  }

  private ping(session: ClientHttp2Session, timeoutMilliseconds: number): void {
    if (session.destroyed) {
      return;
    }
    const limit = this.timers.after(timeoutMilliseconds, () => {
      session.destroy(new Error('the other end does not answer'));
    });
    session.ping(() => {
      limit.stop();
      this.notifyResponseByteRead();
    });
  }

  private forgetIf(session: ClientHttp2Session): void {
    if (this.session === session) {
      this.forget();
    }
  }

  private forget(): void {
    this.checking?.stop();
    this.checking = undefined;
    this.session = undefined;
  }
}
