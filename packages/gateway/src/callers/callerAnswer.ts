import type { ServerResponse } from 'node:http';

import type { AnswerSink } from './answerSink.js';

import { withoutFields } from '../util/headerList.js';

/** Written anew: the framing of the answer is this instance's own. */
const LENGTH: ReadonlySet<string> = new Set(['content-length']);

/**
 * The answer to a caller over Node's server.
 *
 * @example
 * new CallerAnswer(response, () => isStopping).sendWhole(200, headers, body);
 */
export class CallerAnswer implements AnswerSink {
  public constructor(
    private readonly response: ServerResponse,
    private readonly closesConnection: () => boolean,
  ) {}

  public get isStarted(): boolean {
    return this.response.headersSent;
  }

  public sendWhole(status: number, headers: readonly string[], body: Buffer): void {
    const hasBody = status !== 204 && status !== 304;
    const length = hasBody ? ['Content-Length', String(body.length)] : [];
    this.writeHead(status, [...withoutFields(headers, LENGTH), ...length]);
    this.response.end(hasBody ? body : undefined);
  }

  public open(status: number, headers: readonly string[]): void {
    this.writeHead(status, [...withoutFields(headers, LENGTH), 'Transfer-Encoding', 'chunked']);
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

  public cut(): void {
    this.response.destroy();
  }

  private writeHead(status: number, headers: string[]): void {
    const connection = this.closesConnection() ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...connection]);
  }
}
