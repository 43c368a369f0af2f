import type { Epoch, IncarnationId, ShardId } from '@zincring/core';
import type { Row } from '@zincring/platform';

/** Location of a shard's state: a snapshot and the log that continues it. */
export interface ShardStateReference {
  /** Name of the snapshot object; `null` when the shard starts empty. */
  readonly snapshot: string | null;
  /** The log that continues the snapshot; `null` when none does. */
  readonly log: LogReference | null;
}

/** The part of a log that continues a snapshot. */
export interface LogReference {
  /** Incarnation that writes the log. */
  readonly incarnation: IncarnationId;
  /** First sequence number to replay. */
  readonly from: number;
  /** Only records of this epoch are replayed; others were written after their lease was lost. */
  readonly epoch: Epoch;
}

/** The row of a shard in the table. */
export interface ShardRow {
  readonly epoch: Epoch;
  /** Incarnation that holds the shard; `null` when it was released. */
  readonly holder: IncarnationId | null;
  readonly state: ShardStateReference;
}

/** The row of an incarnation's session. Its version grows with every renewal. */
export interface SessionRow {
  readonly instance: string;
  /** Peer address at which other instances reach the holder of a shard. */
  readonly address: string;
  /** Number of the renewal; makes the value of every renewal unique. */
  readonly renewal: number;
}

/** State of a shard that has never been held. */
export const emptyShardState: ShardStateReference = { log: null, snapshot: null };

const SHARD_KEY_DIGITS = 5;

/** Key of the row of a shard. */
export function shardRowKey(shard: ShardId): string {
  return `shard/${String(shard).padStart(SHARD_KEY_DIGITS, '0')}`;
}

/** Prefix of the rows of all sessions. */
export const SESSION_KEY_PREFIX = 'session/';

/** Key of the row of a session. */
export function sessionRowKey(incarnation: IncarnationId): string {
  return `${SESSION_KEY_PREFIX}${incarnation}`;
}

/** Parses the row of a shard. An absent row represents a shard that has never been held. */
export function parseShardRow(row: Row): ShardRow {
  return row.version === 0
    ? { epoch: 0 as Epoch, holder: null, state: emptyShardState }
    : (JSON.parse(row.value) as ShardRow);
}
