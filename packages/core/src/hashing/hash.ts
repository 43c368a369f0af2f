import { createHash, timingSafeEqual } from 'node:crypto';

import createXxhash from 'xxhash-wasm';

import type { HistoryDigest, KeyHash } from '../ids/identifiers.js';

const xxhash = await createXxhash();

/**
 * A fast hash for placement, never for secrets: the same on every instance.
 *
 * @returns an unsigned 32-bit number
 * @example
 * const shard = hash32(programId) % shardCount;
 */
export function hash32(text: string): number {
  return xxhash.h32(text);
}

/**
 * Hexadecimal SHA-256 of text or bytes.
 *
 * @example
 * sha256Hex('abc'); // 'ba7816bf…'
 */
export function sha256Hex(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * The form in which keys are kept.
 *
 * @example
 * const hash = hashKey(bearerToken);
 */
export function hashKey(key: string): KeyHash {
  return sha256Hex(key) as KeyHash;
}

/**
 * Compares two key hashes in constant time.
 *
 * @example
 * isSameKeyHash(hashKey(given), rule.keyHash);
 */
export function isSameKeyHash(left: KeyHash, right: KeyHash): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/** Digest of the empty history: the head of the chain before the first turn of a program. */
export function emptyHistoryDigest(programId: string): HistoryDigest {
  return sha256Hex(`program\n${programId}`) as HistoryDigest;
}

/**
 * Extends the chain of digests by one turn.
 *
 * @example
 * const head = extendHistoryDigest(previous, turnContent);
 */
export function extendHistoryDigest(previous: HistoryDigest, turnContent: string): HistoryDigest {
  return sha256Hex(`${previous}\n${sha256Hex(turnContent)}`) as HistoryDigest;
}
