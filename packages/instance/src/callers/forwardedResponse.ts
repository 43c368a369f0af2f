import type { ZincringError } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { UpstreamFrame } from '../upstreams/upstreamMessages.js';

import { writeWithBackpressure } from './writeWithBackpressure.js';

/** Status and content type of an upstream's response. */
export type ResponseHead = Extract<UpstreamFrame, { kind: 'head' }>;

/**
 * Forwards the response of an upstream to a caller, with its end marked only if the upstream marked it. A caller
 * of HTTP/1.0, which has no chunks, gets each one without a mark.
 *
 * @example
 * const forwarded = new ForwardedResponse(response, 10_000);
 * forwarded.setHead(head);
 * await forwarded.write(data);
 * forwarded.end();
 */
export class ForwardedResponse {
  private head: ResponseHead | undefined;

  public constructor(
    private readonly response: ServerResponse,
    /** Maximum time that the caller may go without reading, in milliseconds. */
    private readonly readerTimeoutMilliseconds: number,
  ) {}

  /** Sets the head; a further attempt replaces that of one that failed before its first byte. */
  public setHead(head: ResponseHead): void {
    this.head = head;
  }

  /** Writes a part of the body. */
  public async write(data: Uint8Array): Promise<void> {
    this.writeHead();
    await writeWithBackpressure(this.response, data, this.readerTimeoutMilliseconds);
  }

  /** Ends the response. */
  public end(): void {
    this.writeHead();
    this.response.end();
  }

  /**
   * Throws the error, or breaks the connection if the head has been sent, so that the caller
   * recognizes the response as incomplete.
   */
  public abort(error: ZincringError): void {
    if (!this.response.headersSent) {
      throw error;
    }
    if (!this.isMarked) {
      // An orderly close would mark the end of the body.
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  /** Whether chunks show the caller where the body ends. */
  private get isMarked(): boolean {
    return this.head?.endsWithConnection !== true && this.response.req.httpVersion !== '1.0';
  }

  private writeHead(): void {
    if (this.head === undefined || this.response.headersSent) {
      return;
    }
    const { contentType, status } = this.head;
    this.response.useChunkedEncodingByDefault = this.isMarked;
    this.response.writeHead(status, {
      'content-type': contentType,
      ...(this.isMarked ? {} : { connection: 'close' }),
    });
  }
}
