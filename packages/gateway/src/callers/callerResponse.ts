import type { ServerResponse } from 'node:http';

import type { HeldResponse } from './memory/heldResponse.js';
import type { BodyFraming, ResponseSink } from './responseSink.js';

import { withoutHeaders } from '../util/headerList.js';

/** Headers that are not copied, since this instance frames the response itself. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/**
 * Writes the response to a caller through Node's HTTP server.
 *
 * @example
 * new CallerResponse(response, held, () => isStopping).send(200, headers, body);
 */
export class CallerResponse implements ResponseSink {
  private writtenFraming: BodyFraming | undefined;

  public constructor(
    private readonly response: ServerResponse,
    private readonly held: HeldResponse,
    private readonly shouldCloseConnection: () => boolean,
  ) {}

  public get isStarted(): boolean {
    return this.response.headersSent;
  }

  public get framing(): BodyFraming | undefined {
    return this.writtenFraming;
  }

  public send(
    status: number,
    headers: readonly string[],
    body: Buffer,
    framing: BodyFraming = 'length',
  ): void {
    const hasBody = status !== 204 && status !== 304;
    const announcesLength = hasBody && framing !== 'connection';
    this.writeHead(
      status,
      headers,
      announcesLength ? ['Content-Length', String(body.length)] : [],
      hasBody ? framing : 'length',
    );
    this.held.end(hasBody ? body : undefined);
  }

  public startStream(status: number, headers: readonly string[], framing: BodyFraming): void {
    const isChunked = framing !== 'connection';
    this.writeHead(status, headers, isChunked ? ['Transfer-Encoding', 'chunked'] : [], framing);
  }

  public async write(bytes: Buffer): Promise<void> {
    if (this.response.destroyed || this.held.write(bytes)) {
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
    this.held.end();
  }

  public abort(): void {
    if (this.framing === 'connection') {
      // An orderly close would mark the end of the body.
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  private writeHead(
    status: number,
    headers: readonly string[],
    framingHeaders: readonly string[],
    framing: BodyFraming,
  ): void {
    this.writtenFraming = framing;
    const endsWithConnection = framing === 'connection';
    this.response.useChunkedEncodingByDefault = !endsWithConnection;
    this.response.writeHead(status, [
      ...withoutHeaders(headers, FRAMING_HEADERS),
      ...framingHeaders,
      ...(endsWithConnection || this.shouldCloseConnection() ? ['Connection', 'close'] : []),
    ]);
  }
}
