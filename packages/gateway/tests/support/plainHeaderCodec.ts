import type { ResponseFacts, RequestFacts, HeaderCodec } from '../../src/callers/requestFacts.js';

import { toHeaderMap, withoutHeaders } from '../../src/util/headerList.js';
import { sampleFacts } from './samples.js';

/** Header codec for tests: header names in lower case, values without further encoding. */
export const plainHeaderCodec: HeaderCodec = {
  makeErrorHeaders: (requestId, retryAfterSeconds) => [
    ...(requestId === undefined ? [] : ['request-id', requestId]),
    ...(retryAfterSeconds === undefined ? [] : ['retry-after', String(retryAfterSeconds)]),
  ],
  readResponse: (status, headers): ResponseFacts => {
    const headerMap = toHeaderMap(headers);
    return {
      isEncoded: headerMap.has('content-encoding'),
      isLeaving: headerMap.has('leaving'),
      isNotExecuted: headerMap.has('not-executed') || status === 421,
      hasServerStamp: headerMap.has('server-stamp'),
      requestId: headerMap.get('request-id'),
      requestsPerSecond: parseNumber(headerMap.get('rate-limit')),
    };
  },
  readFacts: headers => {
    const headerMap = toHeaderMap(headers);
    return sampleFacts({
      key: headerMap.get('key'),
      lastEventId: headerMap.get('last-event-id'),
      maximumOutputTokens: parseNumber(headerMap.get('most')),
      previousTurn: headerMap.get('previous-turn') as RequestFacts['previousTurn'],
      programId: headerMap.get('program') as RequestFacts['programId'],
      remainingMilliseconds: Number(headerMap.get('remaining') ?? 3_000),
      resumedRequest: headerMap.get('resumes') as RequestFacts['resumedRequest'],
      requestId: headerMap.get('request-id') as RequestFacts['requestId'],
      tokenBudget: parseNumber(headerMap.get('token-budget')),
    });
  },
  toCallerHeaders: headers => withoutHeaders(headers, new Set(['connection', 'transfer-encoding'])),
  toReplicaHeaders: (headers, attempt) => [
    ...withoutHeaders(
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
