import type {
  CallId,
  HistoryDigest,
  KeyHash,
  ProgramId,
  Ran,
  ServiceName,
  WorkspaceName,
} from '@zincring/core';
import type { MessageInitShape } from '@bufbuild/protobuf';

import { isErrorKind, ZincringError } from '@zincring/core';
import {
  type CallFrame as CallFrameMessage,
  type CallFrameSchema,
  type CallRequest as CallRequestMessage,
  type CallRequestSchema,
  type ErrorReport as ErrorReportMessage,
  type ErrorReportSchema,
  type ProgramState as ProgramStateMessage,
  type ProgramStateSchema,
  Ran as RanMessage,
} from '@zincring/protocol';

import type { CallFrame, CallRequest, ProgramSummary } from '../programs/programMessages.js';

const ranToMessage: Readonly<Record<Ran, RanMessage>> = {
  maybe: RanMessage.MAYBE,
  no: RanMessage.NO,
  yes: RanMessage.YES,
};

const ranFromMessage: Readonly<Record<RanMessage, Ran>> = {
  [RanMessage.MAYBE]: 'maybe',
  [RanMessage.NO]: 'no',
  [RanMessage.UNSPECIFIED]: 'maybe',
  [RanMessage.YES]: 'yes',
};

/** Converts an error for another instance. */
export function errorToMessage(error: ZincringError): MessageInitShape<typeof ErrorReportSchema> {
  return {
    detail: error.detail ?? '',
    kind: error.kind,
    ran: ranToMessage[error.ran],
    ...(error.retryAfterSeconds === null ? {} : { retryAfterSeconds: error.retryAfterSeconds }),
    ...(error.resume === undefined ? {} : { resume: error.resume }),
  };
}

/** Converts an error that another instance reported. */
export function errorFromMessage(message: ErrorReportMessage): ZincringError {
  const kind = isErrorKind(message.kind) ? message.kind : 'internal';
  return new ZincringError(kind, {
    ran: ranFromMessage[message.ran],
    retryAfterSeconds: message.retryAfterSeconds ?? null,
    ...(message.detail === '' ? {} : { detail: message.detail }),
    ...(message.resume === undefined ? {} : { resume: message.resume }),
  });
}

/** Converts the state of a program for another instance. */
export function summaryToMessage(
  summary: ProgramSummary,
): MessageInitShape<typeof ProgramStateSchema> {
  return { ...summary, ended: summary.hasEnded, tokensLeft: BigInt(summary.tokensLeft) };
}

/** Converts the state of a program that another instance reported. */
export function summaryFromMessage(message: ProgramStateMessage): ProgramSummary {
  return {
    callsLeft: message.callsLeft,
    digest: message.digest as HistoryDigest,
    durableTurn: message.durableTurn,
    hasEnded: message.ended,
    policy: message.policy,
    program: message.program as ProgramId,
    tokensLeft: Number(message.tokensLeft),
    turn: message.turn,
  };
}

/** Converts a call for another instance. */
export function callToMessage(request: CallRequest): MessageInitShape<typeof CallRequestSchema> {
  return {
    attachOnly: request.isAttachOnly,
    body: request.body,
    call: request.call,
    fromOffset: BigInt(request.fromOffset),
    keyHash: request.keyHash,
    maxTokens: request.maxTokens,
    method: request.method,
    parentCall: request.parentCall ?? '',
    path: request.path,
    program: request.program,
    service: request.service,
    timeoutMilliseconds: BigInt(Math.ceil(request.timeoutMilliseconds)),
    turn: request.turn,
    workspace: request.workspace,
  };
}

/** Converts a call that another instance forwards. */
export function callFromMessage(message: CallRequestMessage): CallRequest {
  return {
    body: message.body,
    call: message.call as CallId,
    fromOffset: Number(message.fromOffset),
    isAttachOnly: message.attachOnly,
    keyHash: message.keyHash as KeyHash,
    maxTokens: message.maxTokens,
    method: message.method,
    parentCall: message.parentCall === '' ? undefined : (message.parentCall as CallId),
    path: message.path,
    program: message.program as ProgramId,
    service: message.service as ServiceName,
    timeoutMilliseconds: Number(message.timeoutMilliseconds),
    turn: message.turn,
    workspace: message.workspace as WorkspaceName,
  };
}

/** Converts a frame of a response for another instance. */
export function frameToMessage(frame: CallFrame): MessageInitShape<typeof CallFrameSchema> {
  switch (frame.kind) {
    case 'data':
      return { frame: { case: 'data', value: frame.data }, offset: BigInt(frame.offset) };
    case 'closed':
      return {
        frame: {
          case: 'closed',
          value: {
            ...frame.usage,
            digest: frame.digest,
            durable: frame.isDurable,
            turn: frame.turn,
            upstreamStatus: frame.upstreamStatus,
          },
        },
      };
    case 'failed':
      return { frame: { case: 'error', value: errorToMessage(frame.error) } };
  }
}

/** Converts a frame of a response that another instance sent. */
export function frameFromMessage(message: CallFrameMessage): CallFrame {
  const { frame } = message;
  switch (frame.case) {
    case 'data':
      return { data: frame.value, kind: 'data', offset: Number(message.offset) };
    case 'closed':
      return {
        digest: frame.value.digest as HistoryDigest,
        isDurable: frame.value.durable,
        kind: 'closed',
        turn: frame.value.turn,
        upstreamStatus: frame.value.upstreamStatus,
        usage: {
          cachedTokens: frame.value.cachedTokens,
          outputTokens: frame.value.outputTokens,
          promptTokens: frame.value.promptTokens,
        },
      };
    case 'error':
      return { error: errorFromMessage(frame.value), kind: 'failed' };
    case undefined:
      return { error: new ZincringError('internal', { detail: 'an empty frame' }), kind: 'failed' };
  }
}
