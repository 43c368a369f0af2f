import type { ServiceRule } from '@zincring/rules';

import { sha256Hex } from '@zincring/core';

import type { EnginePayload, PlainPayload } from '../upstreams/upstreamMessages.js';
import type { CallRequest } from './programMessages.js';
import type { ProgramState } from './programState.js';

import { isSafeMethod } from '../util/isSafeMethod.js';

/** Assumed minimum number of characters per engine token; bounds the tokens of a prompt. */
const CHARACTERS_PER_TOKEN = 4;

/** Whether a call may be sent to an upstream again after a failure. */
export function isIdempotentCall(request: CallRequest, rule: ServiceRule): boolean {
  return rule.protocol === 'engine' || rule.idempotent || isSafeMethod(request.method);
}

/** Computes the digest of a request, which distinguishes a resend from a different request. */
export function digestRequest(request: CallRequest): string {
  const { maxTokens, method, parentCall, path, service, turn } = request;
  const fieldsJson = JSON.stringify([service, method, path, maxTokens, parentCall ?? null, turn]);
  return sha256Hex(Buffer.concat([Buffer.from(`${fieldsJson}\n`), request.body]));
}

/** Creates the payload for the upstream: a prompt for an engine, a request for a plain service. */
export function createPayload(
  request: CallRequest,
  state: ProgramState,
  rule: ServiceRule,
): EnginePayload | PlainPayload {
  if (rule.protocol === 'engine') {
    return {
      maxTokens: request.maxTokens,
      protocol: 'engine',
      segments: createPromptSegments(request, state),
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

/**
 * Computes the maximum number of tokens that a call can use: those of its prompt, bounded by its
 * number of characters, and those of its response. A plain service uses none.
 */
export function computeMaximumTokens(
  request: CallRequest,
  state: ProgramState,
  rule: ServiceRule,
): number {
  if (rule.protocol !== 'engine') {
    return 0;
  }
  return createPromptSegments(request, state).reduce(
    (sum, segment) => sum + Math.ceil(segment.length / CHARACTERS_PER_TOKEN),
    request.maxTokens,
  );
}

function createPromptSegments(request: CallRequest, state: ProgramState): readonly string[] {
  const { history } = state.getBranch(request.parentCall ?? null);
  return [
    ...history.flatMap(turn => [turn.request, turn.answer]),
    Buffer.from(request.body).toString('utf8'),
  ];
}
