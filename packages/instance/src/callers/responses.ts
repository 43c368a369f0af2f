import type { ServerResponse } from 'node:http';

import { ZincringError } from '@zincring/core';

import type { CallFrame } from '../programs/programMessages.js';
import type { ResponseTextChunk } from './responseTextDecoder.js';

import { ResponseTextDecoder } from './responseTextDecoder.js';
import { untilAborted } from './untilAborted.js';
import { writeWithBackpressure } from './writeWithBackpressure.js';

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-length': Buffer.byteLength(text),
    'content-type': 'application/json',
  });
  response.end(text);
}

/** Sends an error: as the complete response, or as the last event if the stream has started. */
export function sendError(response: ServerResponse, error: ZincringError): void {
  if (response.writableEnded || response.destroyed) {
    return;
  }
  // Messages of unexpected errors may contain internal addresses.
  const publicError = error.kind === 'internal' ? new ZincringError('internal') : error;
  const report = publicError.toReport();
  if (response.headersSent) {
    response.end(formatEvent('error', report));
    return;
  }
  if (publicError.retryAfterSeconds !== null) {
    response.setHeader('retry-after', String(Math.ceil(publicError.retryAfterSeconds)));
  }
  sendJson(response, publicError.status, report);
}

/** Options of {@link sendFrames}. */
export interface SendFramesOptions {
  readonly response: ServerResponse;
  readonly frames: AsyncIterable<CallFrame>;
  /** Aborts when the caller's key is withdrawn. */
  readonly keyWithdrawn: AbortSignal;
  /** Maximum time that a caller may go without reading, in milliseconds. */
  readonly readerTimeoutMilliseconds: number;
}

/**
 * Streams the frames of a call as server-sent events. An error before the first byte is sent with
 * its own HTTP status. If the caller disconnects, the stream ends, but the call continues at its
 * home.
 */
export async function sendFrames(options: SendFramesOptions): Promise<void> {
  const { frames, keyWithdrawn, readerTimeoutMilliseconds, response } = options;
  const callerDisconnected = new AbortController();
  response.once('close', () => {
    callerDisconnected.abort();
  });
  const decoder = new ResponseTextDecoder();
  const sendChunk = async (chunk: ResponseTextChunk | undefined): Promise<void> => {
    if (chunk !== undefined) {
      startStream(response);
      await writeWithBackpressure(response, formatEvent('data', chunk), readerTimeoutMilliseconds);
    }
  };
  for await (const frame of untilAborted(
    frames,
    AbortSignal.any([keyWithdrawn, callerDisconnected.signal]),
  )) {
    switch (frame.kind) {
      case 'failed':
        sendError(response, frame.error);
        return;
      case 'data':
        await sendChunk(decoder.decode(frame.offset, frame.data));
        break;
      case 'closed':
        await sendChunk(decoder.finish());
        startStream(response);
        response.end(formatClosedEvent(frame));
        return;
    }
  }
  sendError(
    response,
    new ZincringError(keyWithdrawn.aborted ? 'key-withdrawn-while-running' : 'call-interrupted'),
  );
}

function formatClosedEvent(frame: Extract<CallFrame, { kind: 'closed' }>): string {
  return formatEvent('closed', {
    digest: frame.digest,
    durable: frame.isDurable,
    turn: frame.turn,
    usage: frame.usage,
    ...(frame.upstreamStatus === 0 ? {} : { upstreamStatus: frame.upstreamStatus }),
  });
}

function startStream(response: ServerResponse): void {
  if (!response.headersSent) {
    response.writeHead(200, { 'cache-control': 'no-store', 'content-type': 'text/event-stream' });
  }
}

function formatEvent(event: string, data: unknown): string {
  return `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
}
