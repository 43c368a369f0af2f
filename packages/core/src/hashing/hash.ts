import { createHash, timingSafeEqual } from 'node:crypto';

import type { HistoryDigest, KeyHash } from '../ids/identifiers.js';

import { xxhash32 } from './xxhash32.js';

/**
 * Computes the 32-bit xxHash of a text, which is the same on every instance. Use it for placement,
 * never for secrets.
 *
 * @returns an unsigned 32-bit number
 * @example
 * const shard = hash32(programId) % shardCount;
 */
export function hash32(text: string): number {
  return xxhash32(Buffer.from(text));
}

/**
 * Computes the SHA-256 of text or bytes as hexadecimal digits.
 *
 * @example
 * sha256Hex('abc'); // 'ba7816bf…'
 */
export function sha256Hex(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/**
 * Hashes a caller's key; keys are stored only in this form.
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
 * isSameKeyHash(hashKey(given), rule.hash);
 */
export function isSameKeyHash(left: KeyHash, right: KeyHash): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/** Computes the digest of an empty history, the start of a program's hash chain. */
export function emptyHistoryDigest(programId: string): HistoryDigest {
  return sha256Hex(`program\n${programId}`) as HistoryDigest;
}

/**
 * Extends the hash chain of a program's history by one turn.
 *
 * @example
 * const head = extendHistoryDigest(previous, turnContent);
 */
export function extendHistoryDigest(previous: HistoryDigest, turnContent: string): HistoryDigest {
  return sha256Hex(`${previous}\n${sha256Hex(turnContent)}`) as HistoryDigest;
}
