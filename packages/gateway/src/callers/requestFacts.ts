import type { Brand, ProgramId, WorkspaceName } from '@zincring/core';

/** Identifier of one attempt of a caller. */
export type RequestId = Brand<string, 'RequestId'>;
/** Identifier of a kept turn: the request id of the attempt that it ended with. */
export type TurnId = Brand<string, 'TurnId'>;
/** One line of turns of a program. */
export type SessionId = Brand<string, 'SessionId'>;
/** Part of a prompt that requests may share. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** One part of a prompt, in order. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** What a caller says of a request, decoded from its headers. */
export interface RequestFacts {
  readonly requestId: RequestId | undefined;
  readonly key: string | undefined;
  /** How long the caller will wait, in milliseconds. */
  readonly remainingMilliseconds: number | undefined;
  readonly programId: ProgramId | undefined;
  readonly sessionId: SessionId | undefined;
  /** Time until the whole program should have ended, in milliseconds. */
  readonly programRemainingMilliseconds: number | undefined;
  /** Tokens that all turns of the program may generate. */
  readonly tokenBudget: number | undefined;
  readonly promptTokens: number | undefined;
  /** Tokens that this turn generates at most. */
  readonly maximumOutputTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Event after which an interrupted stream goes on. */
  readonly lastEventId: string | undefined;
  readonly previousTurn: TurnId | undefined;
  /** Object that the request concerns. */
  readonly affinityKey: string | undefined;
}

/** What the system tells a replica with one attempt. */
export interface SendingFacts {
  readonly replicaId: string;
  readonly workspace: WorkspaceName | undefined;
  readonly remainingMilliseconds: number;
  /** From 0, the most urgent, to 9; absent for plain services. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
  /** Length of the body; absent when there is none. */
  readonly contentLength: number | undefined;
}

/** What a replica's answer says beside its status and body. */
export interface AnswerFacts {
  /** The request that it answers; absent when it does not say. */
  readonly requestId: string | undefined;
  /** Whether it promises that the request did not run. */
  readonly isNotExecuted: boolean;
  /** Whether it bears the replica's seal; an answer without one came from something else. */
  readonly isSealed: boolean;
  /** Whether the body is encoded, which no replica does. */
  readonly isEncoded: boolean;
}

/** The headers of callers and replicas; header lists are flat: name, value, name, value. */
export interface RequestWire {
  readFacts(headers: readonly string[]): RequestFacts;
  /** Headers of one attempt at a replica. */
  toReplicaHeaders(headers: readonly string[], sending: SendingFacts): string[];
  readAnswer(status: number, headers: readonly string[]): AnswerFacts;
  /** Headers of a replica's answer, as the caller gets them. */
  toCallerHeaders(headers: readonly string[]): string[];
  /** Headers of an answer of the system's own. */
  ownHeaders(requestId: RequestId | undefined, retryAfterSeconds: number | undefined): string[];
}
