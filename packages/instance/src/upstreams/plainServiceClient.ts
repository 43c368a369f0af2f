import { endsWithConnection } from '@zincring/core';

import type { Replica } from './replicaTable.js';
import type { PlainPayload, UpstreamFrame, UpstreamWork } from './upstreamMessages.js';

import { sendRequest } from './upstreamRequest.js';

const noUsage = { cachedTokens: 0, outputTokens: 0, promptTokens: 0 };

/** Sends a request to one replica of a plain service and streams the response. */
export async function* requestPlainService(
  replica: Replica,
  work: UpstreamWork,
  payload: PlainPayload,
): AsyncGenerator<UpstreamFrame> {
  const response = await sendRequest({
    address: replica.address,
    body: payload.body,
    headers: {
      'content-type': payload.contentType,
      'idempotency-key': `${work.workspace}/${work.program ?? ''}/${work.call}`,
    },
    method: payload.method,
    path: payload.path,
    signal: work.signal,
  });
  const contentType = response.headers['content-type'] ?? 'application/octet-stream';
  yield {
    contentType,
    endsWithConnection: endsWithConnection(response),
    kind: 'head',
    status: response.statusCode ?? 0,
  };
  for await (const chunk of response as AsyncIterable<Buffer>) {
    yield { data: chunk, kind: 'data' };
  }
  yield { kind: 'done', usage: noUsage };
}
