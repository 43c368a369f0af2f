import type { ZincringError } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { UpstreamFrame } from '../upstreams/upstreamMessages.js';

import { writeWithBackpressure } from './writeWithBackpressure.js';

/** Status and content type of an upstream's response. */
export type ResponseHead = Extract<UpstreamFrame, { kind: 'head' }>;

/** Forwards the response of an upstream to a caller, with its end marked only if the upstream marked it. */
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
    if (this.head?.endsWithConnection === true) {
      // An orderly close would mark the end of the body.
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  private writeHead(): void {
    if (this.head === undefined || this.response.headersSent) {
      return;
    }
    const { contentType, endsWithConnection, status } = this.head;
    this.response.useChunkedEncodingByDefault = !endsWithConnection;
    this.response.writeHead(status, {
      'content-type': contentType,
      ...(endsWithConnection ? { connection: 'close' } : {}),
    });
  }
}
