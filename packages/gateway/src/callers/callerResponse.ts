import type { ServerResponse } from 'node:http';

import type { ResponseSink } from './responseSink.js';

import { withoutHeaders } from '../util/headerList.js';

/** Headers that are not copied, since this instance frames the response itself. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/**
 * Writes the response to a caller through Node's HTTP server.
 *
 * @example
 * new CallerResponse(response, () => isStopping).send(200, headers, body);
 */
export class CallerResponse implements ResponseSink {
  public constructor(
    private readonly response: ServerResponse,
    private readonly shouldCloseConnection: () => boolean,
  ) {}

  public get isStarted(): boolean {
    return this.response.headersSent;
  }

  public send(status: number, headers: readonly string[], body: Buffer): void {
    const hasBody = status !== 204 && status !== 304;
    const length = hasBody ? ['Content-Length', String(body.length)] : [];
    this.writeHead(status, [...withoutHeaders(headers, FRAMING_HEADERS), ...length]);
    this.response.end(hasBody ? body : undefined);
  }

  public startStream(status: number, headers: readonly string[]): void {
    this.writeHead(status, [
      ...withoutHeaders(headers, FRAMING_HEADERS),
      'Transfer-Encoding',
      'chunked',
    ]);
  }

  public async write(bytes: Buffer): Promise<void> {
    if (this.response.destroyed || this.response.write(bytes)) {
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
    this.response.end();
  }

  public abort(): void {
    this.response.destroy();
  }

  private writeHead(status: number, headers: string[]): void {
    const connection = this.shouldCloseConnection() ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...connection]);
  }
}
