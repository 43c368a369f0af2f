import type { ServerResponse } from 'node:http';

import type { AnswerSink } from './answerSink.js';

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
    this.writeHead(status, [...withoutLength(headers), ...length]);
    this.response.end(hasBody ? body : undefined);
  }

  public open(status: number, headers: readonly string[]): void {
    this.writeHead(status, [...withoutLength(headers), 'Transfer-Encoding', 'chunked']);
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

function withoutLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() !== 'content-length') {
      kept.push(name, headers[index + 1] ?? '');
    }
  }
  return kept;
}
