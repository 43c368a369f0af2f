import type { IncomingMessage, ServerResponse } from 'node:http';

import type { HeldResponse } from './memory/heldResponse.js';
import type { BodyFraming, ResponseSink } from './responseSink.js';

import { withoutHeaders } from '../util/headerList.js';

/** Headers that are not copied, since this instance frames the response itself. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length']);
/** Statuses of responses without a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Writes the response to a caller through Node's HTTP server. A stream is sent in chunks, however its
 * replica framed it: if this process is killed, the kernel closes the connection in order, and only the
 * missing last chunk shows that the stream broke off. For callers of HTTP/1.0, which have no chunks, the
 * last byte waits for the next event, so that such a stream ends inside an event.
 *
 * @example
 * new CallerResponse(response, held, () => isStopping).send(200, headers, body);
 */
export class CallerResponse implements ResponseSink {
  private endsWithConnection = false;
  /** Last byte of a stream without chunks; `undefined` for other responses. */
  private lastByte: Buffer | undefined;

  public constructor(
    private readonly response: ServerResponse,
    private readonly held: HeldResponse,
    private readonly shouldCloseConnection: () => boolean,
  ) {}

  public get isStarted(): boolean {
    return this.response.headersSent;
  }

  public send(
    status: number,
    headers: readonly string[],
    body: Buffer,
    framing: BodyFraming = 'length',
  ): void {
    const hasBody = this.hasBody(status);
    this.endsWithConnection = hasBody && framing === 'connection';
    const announcesLength = hasBody && !this.endsWithConnection;
    this.writeHead(status, headers, announcesLength ? ['Content-Length', String(body.length)] : []);
    this.held.end(hasBody ? body : undefined);
  }

  public startStream(status: number, headers: readonly string[]): void {
    const hasBody = this.hasBody(status);
    const isChunked = acceptsChunks(this.response.req);
    this.endsWithConnection = hasBody && !isChunked;
    this.lastByte = this.endsWithConnection ? Buffer.alloc(0) : undefined;
    this.writeHead(status, headers, hasBody && isChunked ? ['Transfer-Encoding', 'chunked'] : []);
  }

  public async write(bytes: Buffer): Promise<void> {
    if (this.response.destroyed || this.held.write(this.withholdLastByte(bytes))) {
      return;
    }
    await new Promise<void>(resolve => {
      const proceed = (): void => {
        this.response.off('drain', proceed);
        this.response.off('close', proceed);
        resolve();
      };
      this.response.on('drain', proceed);
      this.response.on('close', proceed);
    });
  }

  public end(): void {
    this.held.end(this.lastByte);
  }

  public abort(): void {
    if (this.endsWithConnection) {
      // An orderly close would mark the end of the body.
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  private hasBody(status: number): boolean {
    return !this.isHead && !STATUSES_WITHOUT_BODY.has(status);
  }

  private get isHead(): boolean {
    return this.response.req.method === 'HEAD';
  }

  private withholdLastByte(bytes: Buffer): Buffer {
    if (this.lastByte === undefined) {
      return bytes;
    }
    const unsent = Buffer.concat([this.lastByte, bytes]);
    this.lastByte = unsent.subarray(-1);
    return unsent.subarray(0, -1);
  }

  private writeHead(
    status: number,
    headers: readonly string[],
    framingHeaders: readonly string[],
  ): void {
    this.response.useChunkedEncodingByDefault = !this.endsWithConnection;
    this.response.writeHead(status, [
      // The length in a response to HEAD is that of the body of another request.
      ...(this.isHead ? headers : withoutHeaders(headers, FRAMING_HEADERS)),
      ...framingHeaders,
      ...(this.endsWithConnection || this.shouldCloseConnection() ? ['Connection', 'close'] : []),
    ]);
  }
}

function acceptsChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor > 1 || (httpVersionMajor === 1 && httpVersionMinor >= 1);
}
