import type { ZincringError } from '@zincring/core';
import type { ServerResponse } from 'node:http';

import type { CallFrame } from '../programs/programMessages.js';

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Sends a refusal: as the whole answer, or as the last event of a stream that has begun. */
export function sendError(response: ServerResponse, error: ZincringError): void {
  const report = error.toReport();
  if (response.headersSent) {
    response.end(formatEvent('error', report));
    return;
  }
  if (error.retryAfterSeconds !== null) {
    response.setHeader('retry-after', String(Math.ceil(error.retryAfterSeconds)));
  }
  sendJson(response, error.status, report);
}

/** Streams an answer as server-sent events. A refusal before the first byte keeps its own status. */
export async function sendFrames(
  response: ServerResponse,
  frames: AsyncIterable<CallFrame>,
): Promise<void> {
  for await (const frame of frames) {
    switch (frame.kind) {
      case 'failed':
        sendError(response, frame.error);
        return;
      case 'data':
        openStream(response);
        await writeEvent(response, 'data', {
          offset: frame.offset,
          text: Buffer.from(frame.data).toString('utf8'),
        });
        break;
      case 'closed':
        openStream(response);
        response.end(
          formatEvent('closed', {
            digest: frame.digest,
            durable: frame.isDurable,
            turn: frame.turn,
            usage: frame.usage,
            ...(frame.upstreamStatus === 0 ? {} : { upstreamStatus: frame.upstreamStatus }),
          }),
        );
        return;
    }
  }
}

function openStream(response: ServerResponse): void {
  if (!response.headersSent) {
    response.writeHead(200, { 'cache-control': 'no-store', 'content-type': 'text/event-stream' });
  }
}

async function writeEvent(response: ServerResponse, event: string, data: unknown): Promise<void> {
  if (response.write(formatEvent(event, data)) || response.destroyed) {
    return;
  }
  await new Promise<void>(resolve => {
    response.once('drain', resolve);
    response.once('close', resolve);
  });
}

function formatEvent(event: string, data: unknown): string {
  return `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
}
