const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;

const WORD_BYTES = 4;
const STRIPE_BYTES = 16;

/**
 * Computes the 32-bit xxHash of bytes with seed 0. It is short enough to be compiled within a start of
 * the process, unlike a WebAssembly module.
 *
 * @returns an unsigned 32-bit number
 * @example
 * xxhash32(Buffer.from('abc')); // 0x32d153ff
 */
export function xxhash32(bytes: Buffer): number {
  const stripesEnd = bytes.length - (bytes.length % STRIPE_BYTES);
  let hash = stripesEnd === 0 ? PRIME_5 : mixStripes(bytes, stripesEnd);
  hash = (hash + bytes.length) | 0;
  let offset = stripesEnd;
  for (; offset + WORD_BYTES <= bytes.length; offset += WORD_BYTES) {
    hash = (hash + Math.imul(bytes.readUInt32LE(offset), PRIME_3)) | 0;
    hash = Math.imul(rotateLeft(hash, 17), PRIME_4);
  }
  for (; offset < bytes.length; offset++) {
    hash = (hash + Math.imul(bytes.readUInt8(offset), PRIME_5)) | 0;
    hash = Math.imul(rotateLeft(hash, 11), PRIME_1);
  }
  hash = Math.imul(hash ^ (hash >>> 15), PRIME_2);
  hash = Math.imul(hash ^ (hash >>> 13), PRIME_3);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Mixes the leading stripes of 16 bytes, whose four words go to one accumulator each. */
function mixStripes(bytes: Buffer, end: number): number {
  let first = (PRIME_1 + PRIME_2) | 0;
  let second = PRIME_2 | 0;
  let third = 0;
  let fourth = -PRIME_1 | 0;
  for (let offset = 0; offset < end; offset += STRIPE_BYTES) {
    first = mixWord(first, bytes.readUInt32LE(offset));
    second = mixWord(second, bytes.readUInt32LE(offset + WORD_BYTES));
    third = mixWord(third, bytes.readUInt32LE(offset + 2 * WORD_BYTES));
    fourth = mixWord(fourth, bytes.readUInt32LE(offset + 3 * WORD_BYTES));
  }
  return (
    rotateLeft(first, 1) + rotateLeft(second, 7) + rotateLeft(third, 12) + rotateLeft(fourth, 18)
  );
}

function mixWord(accumulator: number, word: number): number {
  return Math.imul(rotateLeft((accumulator + Math.imul(word, PRIME_2)) | 0, 13), PRIME_1);
}

function rotateLeft(value: number, bits: number): number {
  return (value << bits) | (value >>> (32 - bits));
}
