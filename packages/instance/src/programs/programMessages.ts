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

/** Request to open a program. */
export interface OpenProgramRequest {
  readonly workspace: WorkspaceName;
  readonly program: ProgramId;
  /** Name of the program rule that applies to the program. */
  readonly policy: string;
  /** Time left for the complete program; `undefined` for the lifetime that the rule sets. */
  readonly deadlineMilliseconds: number | undefined;
}

/** Identifies a program of a workspace. */
export interface ProgramReference {
  readonly workspace: WorkspaceName;
  readonly program: ProgramId;
}

/** State of a program as callers see it. */
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

/** Request of one call of a program. */
export interface CallRequest extends ProgramReference {
  readonly call: CallId;
  /** Call on whose behalf a sub-agent makes this one; `undefined` for the program's own calls. */
  readonly parentCall: CallId | undefined;
  /** Number of the turn that the call adds to its branch, starting at 1. */
  readonly turn: number;
  readonly service: ServiceName;
  /** HTTP method for a plain service; empty for an engine. */
  readonly method: string;
  /** HTTP path at a plain service; empty for an engine. */
  readonly path: string;
  readonly body: Uint8Array;
  /** Maximum number of tokens of an engine's response. */
  readonly maxTokens: number;
  /** Time left for the call; a duration, since instances do not share a clock. */
  readonly timeoutMilliseconds: number;
  /** Number of response bytes that the caller already has. */
  readonly fromOffset: number;
  /** Whether the request may only attach to an existing call and must not start one. */
  readonly isAttachOnly: boolean;
  /** Hash of the key that authenticated the call; withdrawing the key ends the call. */
  readonly keyHash: KeyHash;
}

/** Tokens used by a finished call. */
export interface CallUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** Last frame of a complete response. */
export interface CallClosed {
  readonly kind: 'closed';
  readonly turn: number;
  readonly digest: HistoryDigest;
  /** Whether the turn would survive the loss of every instance. */
  readonly isDurable: boolean;
  readonly usage: CallUsage;
  /** HTTP status of a plain service's response; 0 for an engine. */
  readonly upstreamStatus: number;
}

/** Frame with a part of a response. */
export interface CallData {
  readonly kind: 'data';
  /** Number of response bytes before this part. */
  readonly offset: number;
  readonly data: Uint8Array;
}

/** Last frame of a call without a complete response. */
export interface CallFailed {
  readonly kind: 'failed';
  readonly error: ZincringError;
}

/** Frame of a response: `data` frames in order, then `closed` or `failed`. */
export type CallFrame = CallClosed | CallData | CallFailed;

/** Operations on programs that callers request, regardless of which instance holds a program. */
export interface ProgramService {
  open(request: OpenProgramRequest): Promise<Result<ProgramSummary, ZincringError>>;
  describe(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>>;
  end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>>;
  call(request: CallRequest): AsyncIterable<CallFrame>;
}
