import type { CallId, HistoryDigest, ProgramId, ServiceName, WorkspaceName } from '@zincring/core';

import type { CallUsage } from './programMessages.js';

/** A program was opened. */
export interface OpenedRecord {
  readonly type: 'opened';
  readonly program: ProgramId;
  readonly workspace: WorkspaceName;
  readonly policy: string;
  /** Maximum number of tokens of the program in total. */
  readonly tokens: number;
  /** Maximum number of calls of the program in total. */
  readonly calls: number;
  /** Time without calls after which the program ends. */
  readonly idleMilliseconds: number;
  /** Age at which the program ends. */
  readonly lifetimeMilliseconds: number;
  /** Total tokens of the program that may be spent once the record is durable. */
  readonly allowance: number;
}

/** A non-idempotent call is about to be sent. */
export interface IntentRecord {
  readonly type: 'intent';
  readonly program: ProgramId;
  readonly call: CallId;
  readonly requestDigest: string;
}

/** A call succeeded and added a turn to its branch. */
export interface TurnRecord {
  readonly type: 'turn';
  readonly program: ProgramId;
  readonly call: CallId;
  /** Call to whose branch the turn belongs; `null` for the branch of the program itself. */
  readonly parentCall: CallId | null;
  /** Number of the turn within its branch. */
  readonly turn: number;
  readonly service: ServiceName;
  readonly request: string;
  /** Digest of the complete request; distinguishes a resend from a different request. */
  readonly requestDigest: string;
  /** Response of the upstream as text. */
  readonly answer: string;
  readonly usage: CallUsage;
  readonly upstreamStatus: number;
  /** Digest of the history of the branch, including this turn. */
  readonly digest: HistoryDigest;
  /** Age of the program according to its holder. */
  readonly ageMilliseconds: number;
  /** Total tokens of the program that may be spent once the record is durable. */
  readonly allowance: number;
}

/** The allowance of tokens was raised. */
export interface ReservedRecord {
  readonly type: 'reserved';
  readonly program: ProgramId;
  /** Total tokens of the program that may be spent once the record is durable. */
  readonly allowance: number;
}

/** A call that added no turn used tokens, or may have used them. */
export interface SpentRecord {
  readonly type: 'spent';
  readonly program: ProgramId;
  /** Total tokens that the program has used; a total, so that the record can be applied twice. */
  readonly usedTokens: number;
}

/** A non-idempotent call ended without a turn and is known not to have run. */
export interface AbandonedRecord {
  readonly type: 'abandoned';
  readonly program: ProgramId;
  readonly call: CallId;
}

/** Reason for the end of a program; `asked` when a caller ended it. */
export type EndReason = 'asked' | 'idle' | 'lifetime';

/** A program ended. */
export interface EndedRecord {
  readonly type: 'ended';
  readonly program: ProgramId;
  readonly reason: EndReason;
}

/** An ended program was removed after its retention time. */
export interface ForgottenRecord {
  readonly type: 'forgotten';
  readonly program: ProgramId;
}

/** Record of the log about a program. */
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

/** Decodes a record of the log; not validated, as only instances write the log. */
export function decodeProgramRecord(payload: string): ProgramRecord {
  return JSON.parse(payload) as ProgramRecord;
}
