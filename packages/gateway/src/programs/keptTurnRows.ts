import type { WorkspaceName } from '@zincring/core';

import type { TurnId } from '../callers/requestFacts.js';
import type { SweptTable } from '../store/rowSweeper.js';

import { PartitionSet } from '../store/partitionSet.js';

/** A turn that has ended, with what it added to the history. */
export interface KeptTurn {
  readonly id: TurnId;
  readonly workspace: WorkspaceName | undefined;
  /** Earlier turns of the chain, oldest first. */
  readonly ancestors: readonly TurnId[];
  readonly input: Buffer;
  /** The data of each event, each followed by a line feed. */
  readonly output: Buffer;
  /** When the turn may be removed, by the wall clock, in milliseconds. */
  readonly expiresAt: number;
}

/** One row of a stored turn. */
export interface TurnChunk {
  readonly key: string;
  readonly value: Buffer;
}

interface TurnHead {
  readonly ancestors: readonly string[];
  readonly chunks: number;
  readonly expiresAt: number;
  readonly inputBytes: number;
  readonly workspace: string | null;
}

/** Table of the kept turns. */
export const TURN_TABLE = 'turns';
/** Partitions of the table: a turn is one transaction, so each has room for many programs. */
export const turnPartitions = new PartitionSet(TURN_TABLE, 64);
/** Separates the id of a turn from the number of a further chunk; it sorts after all ids. */
const CHUNK_MARK = '~';
/** Room left in a row for its head, in bytes: some hundred ids of ancestors. */
const HEAD_BYTES = 8_192;
const LINE_FEED = 0x0a;

/**
 * Cuts a turn into rows that the store accepts; the first one carries its head.
 *
 * @example
 * const chunks = encodeTurn(turn, 65_536);
 */
export function encodeTurn(turn: KeptTurn, rowBytes: number): readonly TurnChunk[] {
  const content = Buffer.concat([turn.input, turn.output]);
  const chunkBytes = rowBytes - HEAD_BYTES;
  const pieces: Buffer[] = [];
  for (let start = 0; start === 0 || start < content.length; start += chunkBytes) {
    pieces.push(content.subarray(start, start + chunkBytes));
  }
  const head: TurnHead = {
    ancestors: turn.ancestors,
    chunks: pieces.length,
    expiresAt: turn.expiresAt,
    inputBytes: turn.input.length,
    workspace: turn.workspace ?? null,
  };
  const headLine = Buffer.from(`${JSON.stringify(head)}\n`);
  return pieces.map((piece, index) => ({
    key: keyOf(turn.id, index),
    value: index === 0 ? Buffer.concat([headLine, piece]) : piece,
  }));
}

function keyOf(id: string, chunk: number): string {
  return chunk === 0 ? id : `${id}${CHUNK_MARK}${String(chunk).padStart(4, '0')}`;
}

function readHead(value: Buffer): TurnHead {
  return JSON.parse(value.subarray(0, value.indexOf(LINE_FEED)).toString()) as TurnHead;
}

/** The kept turns, for removal after their end. */
export const sweptTurns: SweptTable = {
  expiresAt: row => (row.key.includes(CHUNK_MARK) ? undefined : readHead(row.value).expiresAt),
  keysOf: row =>
    Array.from({ length: readHead(row.value).chunks }, (_unused, index) => keyOf(row.key, index)),
  partitions: turnPartitions.names,
  table: TURN_TABLE,
};

/**
 * Restores a turn from its rows in the order of their keys; `undefined` when there are none.
 *
 * @example
 * const turn = decodeTurn(id, rows);
 */
export function decodeTurn(id: TurnId, rows: readonly TurnChunk[]): KeptTurn | undefined {
  const [first, ...rest] = rows;
  if (first?.key !== id) {
    return undefined;
  }
  const end = first.value.indexOf(LINE_FEED);
  const head = readHead(first.value);
  const pieces = rest.slice(0, head.chunks - 1).map(({ value }) => value);
  const content = Buffer.concat([first.value.subarray(end + 1), ...pieces]);
  return {
    ancestors: head.ancestors as readonly TurnId[],
    expiresAt: head.expiresAt,
    id,
    input: content.subarray(0, head.inputBytes),
    output: content.subarray(head.inputBytes),
    workspace: (head.workspace ?? undefined) as WorkspaceName | undefined,
  };
}

/**
 * Whether a key names a row of a turn.
 *
 * @example
 * isChunkOf('9c41' as TurnId, '9c41~0001'); // true
 */
export function isChunkOf(id: TurnId, key: string): boolean {
  return key === id || key.startsWith(`${id}${CHUNK_MARK}`);
}
