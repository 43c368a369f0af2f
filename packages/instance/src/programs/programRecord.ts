import type { CallId, HistoryDigest, ProgramId, ServiceName, WorkspaceName } from '@zincring/core';

import type { CallUsage } from './programMessages.js';

/** A program was opened. */
export interface OpenedRecord {
  readonly type: 'opened';
  readonly program: ProgramId;
  readonly workspace: WorkspaceName;
  readonly policy: string;
  readonly tokens: number;
  readonly calls: number;
}

/** A non-idempotent call is about to be sent. */
export interface IntentRecord {
  readonly type: 'intent';
  readonly program: ProgramId;
  readonly call: CallId;
}

/** A call made a turn. */
export interface TurnRecord {
  readonly type: 'turn';
  readonly program: ProgramId;
  readonly call: CallId;
  readonly turn: number;
  readonly service: ServiceName;
  readonly request: string;
  readonly answer: string;
  readonly usage: CallUsage;
  readonly upstreamStatus: number;
  readonly digest: HistoryDigest;
}

/** A non-idempotent call ended without a turn, and it is known that it did not run. */
export interface AbandonedRecord {
  readonly type: 'abandoned';
  readonly program: ProgramId;
  readonly call: CallId;
}

/** A program ended. */
export interface EndedRecord {
  readonly type: 'ended';
  readonly program: ProgramId;
}

/** What the log tells of programs. */
export type ProgramRecord =
  AbandonedRecord | EndedRecord | IntentRecord | OpenedRecord | TurnRecord;

/** Encodes a record for the log. */
export function encodeProgramRecord(record: ProgramRecord): string {
  return JSON.stringify(record);
}

/** Decodes a record of the log, which only instances write. */
export function decodeProgramRecord(payload: string): ProgramRecord {
  return JSON.parse(payload) as ProgramRecord;
}
