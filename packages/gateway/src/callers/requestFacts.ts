import type { Brand, ProgramId, WorkspaceName } from '@zincring/core';

/** Identifier of one request; a caller that repeats a request gives the repetition a new one. */
export type RequestId = Brand<string, 'RequestId'>;
/** Identifier of a stored turn: the id of the request that completed it. */
export type TurnId = Brand<string, 'TurnId'>;
/** Identifier of one sequence of turns within a program. */
export type SessionId = Brand<string, 'SessionId'>;
/** Identifier of a part of a prompt that several requests may share. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** One part of a prompt. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** Properties of a request that are decoded from its headers. */
export interface RequestFacts {
  readonly requestId: RequestId | undefined;
  /** API key, which identifies the workspace. */
  readonly key: string | undefined;
  /** Time that the caller will wait for the response, in milliseconds. */
  readonly remainingMilliseconds: number | undefined;
  readonly programId: ProgramId | undefined;
  readonly sessionId: SessionId | undefined;
  /** Time until the program should have ended, in milliseconds. */
  readonly programRemainingMilliseconds: number | undefined;
  /** Maximum number of tokens that all turns of the program may generate together. */
  readonly tokenBudget: number | undefined;
  /** Length of the prompt, in tokens. */
  readonly promptTokens: number | undefined;
  /** Maximum number of tokens that this turn generates. */
  readonly maximumOutputTokens: number | undefined;
  /** Parts of the prompt, in order. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the event after which an interrupted stream resumes. */
  readonly lastEventId: string | undefined;
  /** Request whose response contained the first event of the stream to be resumed. */
  readonly resumedRequest: RequestId | undefined;
  /** Stored turn that this request continues. */
  readonly previousTurn: TurnId | undefined;
  /** Key of the object that the request is about, by which sticky routes choose a replica. */
  readonly affinityKey: string | undefined;
}

/** Values that are sent to a replica in the headers of one attempt. */
export interface AttemptFacts {
  /** Replica that the attempt is meant for; another one at the same address refuses it. */
  readonly replicaId: string;
  readonly workspace: WorkspaceName | undefined;
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Rank from 0 (most urgent) to 9; absent for services without engines. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
  /** Length of the body, in bytes; absent for requests without a body. */
  readonly contentLength: number | undefined;
}

/** Properties of a replica's response that are decoded from its status and headers. */
export interface ResponseFacts {
  /** Id of the request that was responded to, if the headers contain one. */
  readonly requestId: string | undefined;
  /** Whether the replica guarantees that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether the headers contain the stamp that replicas add; a response without it came from another server. */
  readonly hasServerStamp: boolean;
  /** Whether the body has a content encoding, which replicas never apply. */
  readonly isEncoded: boolean;
  /**
   * Rate that the replica accepts from all instances together for as long as it announces it, in
   * requests per second; `undefined` if it announces none.
   */
  readonly requestsPerSecond: number | undefined;
  /** Time for which the replica stays cold, in milliseconds; absent if the response does not say. */
  readonly coldMilliseconds?: number | undefined;
  /** Whether the replica announces that it is about to leave. */
  readonly isLeaving: boolean;
}

/** Reads and writes the headers of callers and replicas. Header lists are flat: name, value, name, value. */
export interface HeaderCodec {
  /** Decodes the headers of a request. */
  readFacts(headers: readonly string[]): RequestFacts;
  /** Makes the headers of one attempt at a replica from the caller's headers. */
  toReplicaHeaders(headers: readonly string[], attempt: AttemptFacts): string[];
  /** Decodes the status and headers of a replica's response. */
  readResponse(status: number, headers: readonly string[]): ResponseFacts;
  /** Makes the headers for the caller from those of a replica's response. */
  toCallerHeaders(headers: readonly string[]): string[];
  /** Makes the headers of an error response that this instance generates. */
  makeErrorHeaders(
    requestId: RequestId | undefined,
    retryAfterSeconds: number | undefined,
  ): string[];
}
