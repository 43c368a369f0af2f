import type {
  CallId,
  ProgramId,
  Result,
  ServiceName,
  WorkspaceName,
  ZincringError,
} from '@zincring/core';
import type { ServiceRule } from '@zincring/rules';

import type { CallUsage } from '../programs/programMessages.js';

/** Work for one upstream of a service. */
export interface UpstreamWork {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly rule: ServiceRule;
  /** `undefined` for a request outside programs. */
  readonly program: ProgramId | undefined;
  readonly call: CallId;
  /** Whether the work may be sent again after a failure. */
  readonly isIdempotent: boolean;
  readonly timeoutMilliseconds: number;
  readonly payload: EnginePayload | PlainPayload;
  /** Tokens that the program was served before, for priorities among programs. */
  readonly attainedTokens: number;
  /**
   * Called just before the first byte is sent. Non-idempotent work stores its intent here, and an
   * error means that nothing is sent.
   */
  readonly beforeSend: () => Promise<Result<void, ZincringError>>;
  readonly signal: AbortSignal;
}

/** A prompt for a model engine. */
export interface EnginePayload {
  readonly protocol: 'engine';
  /** The history, oldest first, and the new input. */
  readonly segments: readonly string[];
  readonly maxTokens: number;
}

/** A request for a plain service. */
export interface PlainPayload {
  readonly protocol: 'plain';
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A frame of an upstream's answer: an optional head, data, then `done` or `failed`. */
export type UpstreamFrame =
  | { readonly kind: 'data'; readonly data: Uint8Array }
  | { readonly kind: 'done'; readonly usage: CallUsage }
  | { readonly kind: 'failed'; readonly error: ZincringError }
  | { readonly kind: 'head'; readonly status: number; readonly contentType: string };

/** Sends work to upstreams: queueing, choice of the replica, retries. */
export interface UpstreamDispatcher {
  dispatch(work: UpstreamWork): AsyncIterable<UpstreamFrame>;
}
