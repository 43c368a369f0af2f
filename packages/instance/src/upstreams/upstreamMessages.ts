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

/** Work to be sent to one upstream of a service. */
export interface UpstreamWork {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly rule: ServiceRule;
  /** `undefined` for a request outside of programs. */
  readonly program: ProgramId | undefined;
  readonly call: CallId;
  /** Whether the work may be sent again after a failure. */
  readonly isIdempotent: boolean;
  readonly timeoutMilliseconds: number;
  readonly payload: EnginePayload | PlainPayload;
  /** Number of tokens already served to the program; used for priorities among programs. */
  readonly attainedTokens: number;
  /**
   * Called just before the first byte is sent. Non-idempotent work stores its intent here. If it
   * returns an error, nothing is sent.
   */
  readonly beforeSend: () => Promise<Result<void, ZincringError>>;
  readonly signal: AbortSignal;
}

/** Prompt for a model engine. */
export interface EnginePayload {
  readonly protocol: 'engine';
  /** History of the program, oldest segment first, followed by the new input. */
  readonly segments: readonly string[];
  readonly maxTokens: number;
}

/** Request for a plain service. */
export interface PlainPayload {
  readonly protocol: 'plain';
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Frame of an upstream's response: an optional `head`, any `data`, then `done` or `failed`. */
export type UpstreamFrame =
  | { readonly kind: 'data'; readonly data: Uint8Array }
  | { readonly kind: 'done'; readonly usage: CallUsage }
  | { readonly kind: 'failed'; readonly error: ZincringError }
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly contentType: string;
      /** Whether the response has neither a length nor chunks, so that nothing shows that it is whole. */
      readonly endsWithConnection: boolean;
    };

/** Sends work to upstreams: queues it, chooses the replica and retries. */
export interface UpstreamDispatcher {
  dispatch(work: UpstreamWork): AsyncIterable<UpstreamFrame>;
}
