import type { CallId, HistoryDigest, ProgramId, ServiceName, WorkspaceName } from '@zincring/core';

import type { CallUsage } from './programMessages.js';

/** A program was opened. */
export interface OpenedRecord {
  readonly type: 'opened';
  readonly program: ProgramId;
  readonly workspace: WorkspaceName;
  readonly policy: string;
  /** Most tokens over the whole program. */
  readonly tokens: number;
  /** Most calls over the whole program. */
  readonly calls: number;
  /** Time without a call after which the program ends. */
  readonly idleMilliseconds: number;
  /** Age at which the program ends. */
  readonly lifetimeMilliseconds: number;
  /** Tokens that may be spent once the record is durable. */
  readonly allowance: number;
}

/** A non-idempotent call is about to be sent. */
export interface IntentRecord {
  readonly type: 'intent';
  readonly program: ProgramId;
  readonly call: CallId;
  readonly requestDigest: string;
}

/** A call made a turn. */
export interface TurnRecord {
  readonly type: 'turn';
  readonly program: ProgramId;
  readonly call: CallId;
  /** The call whose branch the turn belongs to; `null` for the program itself. */
  readonly parentCall: CallId | null;
  /** Number of the turn within its branch. */
  readonly turn: number;
  readonly service: ServiceName;
  readonly request: string;
  /** Digest of the whole request, by which a resend is told from another request. */
  readonly requestDigest: string;
  readonly answer: string;
  readonly usage: CallUsage;
  readonly upstreamStatus: number;
  /** Digest of the history of the branch. */
  readonly digest: HistoryDigest;
  /** Age of the program as its holder counts it. */
  readonly ageMilliseconds: number;
  /** Tokens of the whole program that may be spent once the record is durable. */
  readonly allowance: number;
}

/** More tokens may be spent than earlier records allow. */
export interface ReservedRecord {
  readonly type: 'reserved';
  readonly program: ProgramId;
  readonly allowance: number;
}

/** A call without a turn used tokens, or may have. */
export interface SpentRecord {
  readonly type: 'spent';
  readonly program: ProgramId;
  /** Tokens that the program has used in all, so that the record may be applied twice. */
  readonly usedTokens: number;
}

/** A non-idempotent call ended without a turn, and it is known that it did not run. */
export interface AbandonedRecord {
  readonly type: 'abandoned';
  readonly program: ProgramId;
  readonly call: CallId;
}

/** Why a program ended. */
export type EndReason = 'asked' | 'idle' | 'lifetime';

/** A program ended. */
export interface EndedRecord {
  readonly type: 'ended';
  readonly program: ProgramId;
  readonly reason: EndReason;
}

/** An ended program is kept no longer. */
export interface ForgottenRecord {
  readonly type: 'forgotten';
  readonly program: ProgramId;
}

/** What the log tells of programs. */
export type ProgramRecord =
  | AbandonedRecord
  | EndedRecord
  | ForgottenRecord
  | IntentRecord
  | OpenedRecord
  | ReservedRecord
  | SpentRecord
  | TurnRecord;

/** Encodes a record for the log. */
export function encodeProgramRecord(record: ProgramRecord): string {
  return JSON.stringify(record);
}

/** Decodes a record of the log, which only instances write. */
export function decodeProgramRecord(payload: string): ProgramRecord {
  return JSON.parse(payload) as ProgramRecord;
}
