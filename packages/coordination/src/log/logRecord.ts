import type { Epoch, IncarnationId, ShardId } from '@zincring/core';

/** One record of the write-ahead log. */
export interface LogRecord {
  readonly shard: ShardId;
  /** Fencing token under which the record was written. */
  readonly epoch: Epoch;
  /** Event, as the owner of the shard encodes it. */
  readonly payload: string;
}

/** Position of a commit group: the log that it belongs to and its place in that log. */
export interface LogPosition {
  readonly incarnation: IncarnationId;
  /** Sequence number of the object in its log, starting at 1. */
  readonly sequence: number;
}

const SEQUENCE_DIGITS = 12;

/** Name prefix of the objects of all logs. */
export const LOG_NAME_PREFIX = 'log/';

/** Name prefix of the objects of one incarnation's log. */
export function logPrefix(incarnation: IncarnationId): string {
  return `${LOG_NAME_PREFIX}${incarnation}/`;
}

/** Name of the object of one commit group. */
export function logObjectName(incarnation: IncarnationId, sequence: number): string {
  return `${logPrefix(incarnation)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Parses the name of the object of a commit group; `undefined` for any other name. */
export function parseLogObjectName(name: string): LogPosition | undefined {
  const match = /^log\/([^/]+)\/(\d+)$/.exec(name);
  return match === null
    ? undefined
    : { incarnation: match[1] as IncarnationId, sequence: Number(match[2]) };
}

/** Encodes a commit group as JSON lines. */
export function encodeGroup(records: readonly LogRecord[]): Uint8Array {
  return Buffer.from(records.map(record => JSON.stringify(record)).join('\n'));
}

/** Decodes a commit group. */
export function decodeGroup(content: Uint8Array): readonly LogRecord[] {
  return Buffer.from(content)
    .toString('utf8')
    .split('\n')
    .map(line => JSON.parse(line) as LogRecord);
}
