import type { ServiceRule } from '@zincring/rules';

import { sha256Hex } from '@zincring/core';

import type { EnginePayload, PlainPayload } from '../upstreams/upstreamMessages.js';
import type { CallRequest } from './programMessages.js';
import type { ProgramState } from './programState.js';

import { isSafeMethod } from '../util/isSafeMethod.js';

/** Characters of a prompt that make at least one token of the engines, at most. */
const CHARACTERS_PER_TOKEN = 4;

/** Whether a call may be sent again after a failure. */
export function isIdempotentCall(request: CallRequest, rule: ServiceRule): boolean {
  return rule.protocol === 'engine' || rule.idempotent || isSafeMethod(request.method);
}

/** Digest of all that makes a call what it is, by which a resend is told from another request. */
export function digestRequest(request: CallRequest): string {
  const { maxTokens, method, parentCall, path, service, turn } = request;
  const head = JSON.stringify([service, method, path, maxTokens, parentCall ?? null, turn]);
  return sha256Hex(Buffer.concat([Buffer.from(`${head}\n`), request.body]));
}

/** The prompt or request that goes to the upstream. */
export function createPayload(
  request: CallRequest,
  state: ProgramState,
  rule: ServiceRule,
): EnginePayload | PlainPayload {
  if (rule.protocol === 'engine') {
    return {
      maxTokens: request.maxTokens,
      protocol: 'engine',
      segments: segmentsOf(request, state),
    };
  }
  return {
    body: request.body,
    contentType: 'application/json',
    method: request.method,
    path: request.path,
    protocol: 'plain',
  };
}

/** Most tokens that a call can use: those of its prompt by length, and those of its answer. */
export function tokenBound(request: CallRequest, state: ProgramState, rule: ServiceRule): number {
  if (rule.protocol !== 'engine') {
    return 0;
  }
  return segmentsOf(request, state).reduce(
    (sum, segment) => sum + Math.ceil(segment.length / CHARACTERS_PER_TOKEN),
    request.maxTokens,
  );
}

function segmentsOf(request: CallRequest, state: ProgramState): readonly string[] {
  const { history } = state.branch(request.parentCall ?? null);
  return [
    ...history.flatMap(turn => [turn.request, turn.answer]),
    Buffer.from(request.body).toString('utf8'),
  ];
}
