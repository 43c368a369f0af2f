import type { WorkspaceName } from '@zincring/core';

import type { TurnId } from '../callers/requestFacts.js';
import type { SweptTable } from '../store/rowSweeper.js';

import { PartitionSet } from '../store/partitionSet.js';
import { isNumber, isTextList, toFields } from '../util/jsonFields.js';

/** An ended turn with its input and output. */
export interface StoredTurn {
  readonly id: TurnId;
  readonly workspace: WorkspaceName | undefined;
  /** Earlier turns of the conversation, oldest first. */
  readonly ancestors: readonly TurnId[];
  readonly input: Buffer;
  /** Data of all events, each followed by a line feed. */
  readonly output: Buffer;
  /** Earliest time at which the turn may be removed, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
  /**
   * Time until which the turn may be continued, so that all its ancestors are stored, on the wall clock, in
   * milliseconds; absent in rows of builds up to 6151ff0.
   */
  readonly keptUntil?: number | undefined;
  /**
   * Time at which the first turn of the conversation was stored, on the wall clock, in milliseconds; absent in
   * rows of builds up to 6151ff0.
   */
  readonly beganAt?: number | undefined;
  /** Whether this is a part of a history that was stored again, which no caller can continue. */
  readonly isSegment?: boolean | undefined;
}

/** Turns whose inputs and outputs are the history of a turn, oldest first. */
export type TurnChain = readonly StoredTurn[];

/** One row of a stored turn. */
export interface TurnChunk {
  readonly key: string;
  readonly value: Buffer;
}

interface TurnHead {
  readonly ancestors: readonly string[];
  readonly beganAt?: number | undefined;
  readonly chunks: number;
  readonly expiresAt: number;
  readonly inputBytes: number;
  readonly isSegment?: boolean | undefined;
  readonly keptUntil?: number | undefined;
  readonly workspace: string | null;
}

/** Table of the stored turns. */
export const TURN_TABLE = 'turns';
/** Partitions of the table; a turn is written in one transaction, so one partition serves many programs. */
export const turnPartitions = new PartitionSet(TURN_TABLE, 64);
/** Separates the id of a turn from the number of a further chunk; sorts after all characters of ids. */
const CHUNK_SEPARATOR = '~';
/** Space reserved in a row for the head, in bytes: enough for a few hundred ancestor ids. */
const HEAD_BYTES = 8_192;
/** Maximum number of rows of a turn: the store's own limit for a transaction. */
const MAXIMUM_CHUNKS = 100;
/** Maximum size of a segment, in bytes: as the store encodes it, it fits into one transaction of 1 MB. */
const MAXIMUM_SEGMENT_BYTES = 512 * 1024;
const LINE_FEED = 0x0a;

/**
 * Returns how many bytes of a history may be stored as one segment.
 *
 * @param rowBytes maximum size of a row, in bytes
 * @example
 * computeSegmentBytes(65_536); // 524_288
 */
export function computeSegmentBytes(rowBytes: number): number {
  // Each chunk is an entry of the transaction, and so is the check of the first one.
  return Math.min(MAXIMUM_SEGMENT_BYTES, (MAXIMUM_CHUNKS - 1) * (rowBytes - HEAD_BYTES));
}

/**
 * Splits a turn into rows within the size limit of the store; the first row also contains the head.
 *
 * @example
 * const chunks = encodeTurn(turn, 65_536);
 */
export function encodeTurn(turn: StoredTurn, rowBytes: number): readonly TurnChunk[] {
  const content = Buffer.concat([turn.input, turn.output]);
  const chunkBytes = rowBytes - HEAD_BYTES;
  const pieces: Buffer[] = [];
  for (let start = 0; start === 0 || start < content.length; start += chunkBytes) {
    pieces.push(content.subarray(start, start + chunkBytes));
  }
  const head: TurnHead = {
    ancestors: turn.ancestors,
    beganAt: turn.beganAt,
    chunks: pieces.length,
    expiresAt: turn.expiresAt,
    inputBytes: turn.input.length,
    isSegment: turn.isSegment,
    keptUntil: turn.keptUntil,
    workspace: turn.workspace ?? null,
  };
  const headLine = Buffer.from(`${JSON.stringify(head)}\n`);
  return pieces.map((piece, index) => ({
    key: makeKey(turn.id, index),
    value: index === 0 ? Buffer.concat([headLine, piece]) : piece,
  }));
}

function makeKey(id: string, chunk: number): string {
  return chunk === 0 ? id : `${id}${CHUNK_SEPARATOR}${String(chunk).padStart(4, '0')}`;
}

/** Reads the head of a turn; throws if the row holds none, since its numbers become sizes. */
function readHead(value: Buffer): TurnHead {
  const head: unknown = JSON.parse(value.subarray(0, value.indexOf(LINE_FEED)).toString());
  const fields = toFields(head);
  const { ancestors, chunks, expiresAt, inputBytes, workspace } = fields;
  if (
    !isTextList(ancestors) ||
    !isNumber(chunks) ||
    chunks > MAXIMUM_CHUNKS ||
    !isNumber(expiresAt) ||
    !isNumber(inputBytes) ||
    (workspace !== null && typeof workspace !== 'string')
  ) {
    throw new TypeError('the row holds no turn');
  }
  return {
    ancestors,
    beganAt: isNumber(fields['beganAt']) ? fields['beganAt'] : undefined,
    chunks,
    expiresAt,
    inputBytes,
    isSegment: fields['isSegment'] === true,
    keptUntil: isNumber(fields['keptUntil']) ? fields['keptUntil'] : undefined,
    workspace,
  };
}

/** Description of the stored turns for the removal of expired rows. */
export const sweptTurns: SweptTable = {
  expiresAt: row => (row.key.includes(CHUNK_SEPARATOR) ? undefined : readHead(row.value).expiresAt),
  keysOf: row =>
    Array.from({ length: readHead(row.value).chunks }, (_unused, index) => makeKey(row.key, index)),
  partitions: turnPartitions.names,
  table: TURN_TABLE,
};

/**
 * Restores a turn from its rows, sorted by key; `undefined` if the first row is missing. Throws if it cannot be read.
 *
 * @example
 * const turn = decodeTurn(id, rows);
 */
export function decodeTurn(id: TurnId, rows: readonly TurnChunk[]): StoredTurn | undefined {
  const [first, ...laterChunks] = rows;
  if (first?.key !== id) {
    return undefined;
  }
  const end = first.value.indexOf(LINE_FEED);
  const head = readHead(first.value);
  const pieces = laterChunks.slice(0, head.chunks - 1).map(({ value }) => value);
  const content = Buffer.concat([first.value.subarray(end + 1), ...pieces]);
  return {
    ancestors: head.ancestors as readonly TurnId[],
    beganAt: head.beganAt,
    expiresAt: head.expiresAt,
    id,
    input: content.subarray(0, head.inputBytes),
    isSegment: head.isSegment,
    keptUntil: head.keptUntil,
    output: content.subarray(head.inputBytes),
    workspace: (head.workspace ?? undefined) as WorkspaceName | undefined,
  };
}

/**
 * Whether a key is that of a row of the turn.
 *
 * @example
 * isChunkOf('9c41' as TurnId, '9c41~0001'); // true
 */
export function isChunkOf(id: TurnId, key: string): boolean {
  return key === id || key.startsWith(`${id}${CHUNK_SEPARATOR}`);
}
