import type { ResponseFacts, RequestFacts, HeaderCodec } from '../../src/callers/requestFacts.js';

import { toFields, withoutFields } from '../../src/util/headerList.js';
import { sampleFacts } from './samples.js';

/** Header codec for tests: header names in lower case, values without further encoding. */
export const plainHeaderCodec: HeaderCodec = {
  makeErrorHeaders: (requestId, retryAfterSeconds) => [
    ...(requestId === undefined ? [] : ['request-id', requestId]),
    ...(retryAfterSeconds === undefined ? [] : ['retry-after', String(retryAfterSeconds)]),
  ],
  readResponse: (status, headers): ResponseFacts => {
    const fields = toFields(headers);
    return {
      isEncoded: fields.has('content-encoding'),
      isNotExecuted: fields.has('not-executed') || status === 421,
      hasServerStamp: fields.has('server-stamp'),
      requestId: fields.get('request-id'),
    };
  },
  readFacts: headers => {
    const fields = toFields(headers);
    return sampleFacts({
      key: fields.get('key'),
      lastEventId: fields.get('last-event-id'),
      maximumOutputTokens: parseNumber(fields.get('most')),
      previousTurn: fields.get('previous-turn') as RequestFacts['previousTurn'],
      programId: fields.get('program') as RequestFacts['programId'],
      remainingMilliseconds: Number(fields.get('remaining') ?? 3_000),
      requestId: fields.get('request-id') as RequestFacts['requestId'],
      tokenBudget: parseNumber(fields.get('token-budget')),
    });
  },
  toCallerHeaders: headers => withoutFields(headers, new Set(['connection', 'transfer-encoding'])),
  toReplicaHeaders: (headers, attempt) => [
    ...withoutFields(
      headers,
      new Set(['connection', 'content-length', 'key', 'last-event-id', 'remaining']),
    ),
    'expected',
    attempt.replicaId,
    'remaining',
    String(attempt.remainingMilliseconds),
    ...(attempt.workspace === undefined ? [] : ['workspace', attempt.workspace]),
    ...(attempt.lastEventId === undefined ? [] : ['last-event-id', attempt.lastEventId]),
    ...(attempt.contentLength === undefined
      ? []
      : ['content-length', String(attempt.contentLength)]),
  ],
};

function parseNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}
