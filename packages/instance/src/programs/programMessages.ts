import type {
  CallId,
  HistoryDigest,
  KeyHash,
  ProgramId,
  Result,
  ServiceName,
  WorkspaceName,
  ZincringError,
} from '@zincring/core';

/** Opens a program. */
export interface OpenProgramRequest {
  readonly workspace: WorkspaceName;
  readonly program: ProgramId;
  /** Name of the program rule that binds it. */
  readonly policy: string;
  /** Time left for the whole program; `undefined` for what the rule gives. */
  readonly deadlineMilliseconds: number | undefined;
}

/** Names a program on behalf of a workspace. */
export interface ProgramReference {
  readonly workspace: WorkspaceName;
  readonly program: ProgramId;
}

/** What a caller may know of a program. */
export interface ProgramSummary {
  readonly program: ProgramId;
  readonly policy: string;
  readonly turn: number;
  readonly durableTurn: number;
  readonly digest: HistoryDigest;
  readonly tokensLeft: number;
  readonly callsLeft: number;
  readonly hasEnded: boolean;
}

/** One call of a program. */
export interface CallRequest extends ProgramReference {
  readonly call: CallId;
  /** The call on whose behalf a sub-agent makes this one. */
  readonly parentCall: CallId | undefined;
  /** Number of the turn that the call makes, from 1. */
  readonly turn: number;
  readonly service: ServiceName;
  /** HTTP method and path at a plain service; empty for an engine. */
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** Most tokens of the answer of an engine. */
  readonly maxTokens: number;
  /** Time left for the call; durations cross instances, clocks do not. */
  readonly timeoutMilliseconds: number;
  /** Answer bytes that the caller has already. */
  readonly fromOffset: number;
  /** Whether only a running or finished call may be followed, and none started. */
  readonly isAttachOnly: boolean;
  /** Key under which the call came, so that its withdrawal ends the call. */
  readonly keyHash: KeyHash;
}

/** What a finished call used. */
export interface CallUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** The end of a whole answer. */
export interface CallClosed {
  readonly kind: 'closed';
  readonly turn: number;
  readonly digest: HistoryDigest;
  /** Whether the turn would survive the loss of every instance. */
  readonly isDurable: boolean;
  readonly usage: CallUsage;
  /** HTTP status that a plain service gave; 0 for an engine. */
  readonly upstreamStatus: number;
}

/** A part of an answer. */
export interface CallData {
  readonly kind: 'data';
  /** Number of answer bytes before this part. */
  readonly offset: number;
  readonly data: Uint8Array;
}

/** The end of a call that has no whole answer. */
export interface CallFailed {
  readonly kind: 'failed';
  readonly error: ZincringError;
}

/** One frame of an answer: data in order, then `closed` or `failed`. */
export type CallFrame = CallClosed | CallData | CallFailed;

/** Programs as callers see them, wherever they live. */
export interface ProgramService {
  open(request: OpenProgramRequest): Promise<Result<ProgramSummary, ZincringError>>;
  describe(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>>;
  end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>>;
  call(request: CallRequest): AsyncIterable<CallFrame>;
}
