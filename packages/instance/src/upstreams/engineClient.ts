import type { IncomingMessage } from 'node:http';

import { randomUUID } from 'node:crypto';

import { z } from 'zod';

import type { Replica } from './replicaTable.js';
import type { EnginePayload, UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { UpstreamFailure } from './upstreamFailure.js';
import { sendRequest, readLines } from './upstreamRequest.js';

const lineSchema = z.union([
  z.object({ index: z.number(), text: z.string() }),
  z.object({
    usage: z.object({
      cachedTokens: z.number(),
      outputTokens: z.number(),
      promptTokens: z.number(),
    }),
  }),
]);

/**
 * Streams a generation from one engine. The response is newline-delimited JSON: one line for each
 * token and a last line with the token usage.
 */
export async function* generateAtEngine(
  replica: Replica,
  work: UpstreamWork,
  payload: EnginePayload,
  priority: number,
): AsyncGenerator<UpstreamFrame> {
  const body = JSON.stringify({
    maxTokens: payload.maxTokens,
    priority,
    program: work.program ?? '',
    // Unique for each attempt, since an engine may remember the id of a cancelled request.
    requestId: `${work.program ?? ''}/${work.call}/${randomUUID()}`,
    segments: payload.segments,
  });
  const response = await sendRequest({
    address: replica.address,
    body,
    headers: { 'content-type': 'application/json' },
    method: 'POST',
    path: '/v1/generate',
    signal: work.signal,
  });
  yield* readGeneration(response);
}

async function* readGeneration(response: IncomingMessage): AsyncGenerator<UpstreamFrame> {
  if (response.statusCode !== 200) {
    // The rest may never end.
    response.destroy();
    throw new UpstreamFailure('failed', `status ${response.statusCode ?? 0}`);
  }
  for await (const line of readLines(response)) {
    const parsed = lineSchema.parse(JSON.parse(line));
    if ('usage' in parsed) {
      yield { kind: 'done', usage: parsed.usage };
      return;
    }
    yield { data: Buffer.from(parsed.text), kind: 'data' };
  }
  throw new UpstreamFailure('died', 'the stream was cut off');
}
