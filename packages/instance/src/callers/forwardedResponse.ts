import type { ServerResponse } from 'node:http';

import { ZincringError } from '@zincring/core';

import type { UpstreamFrame } from '../upstreams/upstreamMessages.js';

import { writeWithBackpressure } from './writeWithBackpressure.js';

/** Status and content type of an upstream's response. */
export type ResponseHead = Extract<UpstreamFrame, { kind: 'head' }>;

/** A stream that ends so ends between two events. */
const EVENT_END = /\n\r?\n$/;
const EVENT_END_CHARACTERS = 3;
const EVENT_STREAM = /^text\/event-stream\b/i;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Forwards the response of an upstream to a caller, with its end marked if the upstream marked it. A stream of
 * events without a mark is whole if it ends between two events, and is marked then, so that one whose
 * instance is killed does not look whole. A caller of HTTP/1.0, which has no chunks, gets each without a mark.
 *
 * @example
 * const forwarded = new ForwardedResponse(response, 10_000);
 * forwarded.setHead(head);
 * await forwarded.write(data);
 * forwarded.end();
 */
export class ForwardedResponse {
  private head: ResponseHead | undefined;
  /** Last characters of the body so far. */
  private tail = '';

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
    this.tail = (
      this.tail + Buffer.from(data.slice(-EVENT_END_CHARACTERS)).toString('latin1')
    ).slice(-EVENT_END_CHARACTERS);
    await writeWithBackpressure(this.response, data, this.readerTimeoutMilliseconds);
  }

  /** Ends the response; aborts it if it broke off inside an event. */
  public end(): void {
    if (this.isUnmarkedStream && !EVENT_END.test(this.tail)) {
      this.abort(new ZincringError('upstream-failed', { detail: 'the stream broke off' }));
      return;
    }
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
    const isKnown = this.head?.endsWithConnection !== true || this.isUnmarkedStream;
    return isKnown && this.response.req.httpVersion !== '1.0';
  }

  /** Whether the body is a stream of events whose end the upstream does not mark. */
  private get isUnmarkedStream(): boolean {
    if (this.head?.endsWithConnection !== true || !EVENT_STREAM.test(this.head.contentType)) {
      return false;
    }
    return this.response.req.method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(this.head.status);
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
