import type { ServerResponse } from 'node:http';

import { ZincringError } from '@zincring/core';

import type { CallFrame } from '../programs/programMessages.js';
import type { AnswerTextPart } from './answerText.js';

import { AnswerText } from './answerText.js';
import { untilAborted } from './untilAborted.js';
import { writePatiently } from './writePatiently.js';

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-length': Buffer.byteLength(text),
    'content-type': 'application/json',
  });
  response.end(text);
}

/** Sends a refusal: as the whole answer, or as the last event of a stream that has begun. */
export function sendError(response: ServerResponse, error: ZincringError): void {
  if (response.writableEnded || response.destroyed) {
    return;
  }
  // Text of unexpected faults may name addresses.
  const shown = error.kind === 'internal' ? new ZincringError('internal') : error;
  const report = shown.toReport();
  if (response.headersSent) {
    response.end(formatEvent('error', report));
    return;
  }
  if (shown.retryAfterSeconds !== null) {
    response.setHeader('retry-after', String(Math.ceil(shown.retryAfterSeconds)));
  }
  sendJson(response, shown.status, report);
}

/** What streaming an answer needs. */
export interface SendFramesOptions {
  readonly response: ServerResponse;
  readonly frames: AsyncIterable<CallFrame>;
  /** Aborts when the caller's key is withdrawn. */
  readonly keyWithdrawn: AbortSignal;
  /** How long a caller may read nothing, in milliseconds. */
  readonly readerTimeoutMilliseconds: number;
}

/**
 * Streams an answer as server-sent events. A refusal before the first byte keeps its own status.
 * A caller that is gone ends the stream; the call itself goes on at its home.
 */
export async function sendFrames(options: SendFramesOptions): Promise<void> {
  const { frames, keyWithdrawn, readerTimeoutMilliseconds, response } = options;
  const gone = new AbortController();
  response.once('close', () => {
    gone.abort();
  });
  const text = new AnswerText();
  const sendText = async (part: AnswerTextPart | undefined): Promise<void> => {
    if (part !== undefined) {
      openStream(response);
      await writePatiently(response, formatEvent('data', part), readerTimeoutMilliseconds);
    }
  };
  for await (const frame of untilAborted(frames, AbortSignal.any([keyWithdrawn, gone.signal]))) {
    switch (frame.kind) {
      case 'failed':
        sendError(response, frame.error);
        return;
      case 'data':
        await sendText(text.append(frame.offset, frame.data));
        break;
      case 'closed':
        await sendText(text.finish());
        openStream(response);
        response.end(formatClosed(frame));
        return;
    }
  }
  sendError(
    response,
    new ZincringError(keyWithdrawn.aborted ? 'key-withdrawn-while-running' : 'call-interrupted'),
  );
}

function formatClosed(frame: Extract<CallFrame, { kind: 'closed' }>): string {
  return formatEvent('closed', {
    digest: frame.digest,
    durable: frame.isDurable,
    turn: frame.turn,
    usage: frame.usage,
    ...(frame.upstreamStatus === 0 ? {} : { upstreamStatus: frame.upstreamStatus }),
  });
}

function openStream(response: ServerResponse): void {
  if (!response.headersSent) {
    response.writeHead(200, { 'cache-control': 'no-store', 'content-type': 'text/event-stream' });
  }
}

function formatEvent(event: string, data: unknown): string {
  return `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
}
