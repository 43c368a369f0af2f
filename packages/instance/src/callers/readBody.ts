import type { IncomingMessage } from 'node:http';

import { ZincringError } from '@zincring/core';

/**
 * Reads the body of a request; throws the kind `body-too-large` if it exceeds the limit.
 *
 * @param limitBytes maximum size of the body, in bytes
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    throw createBodyTooLargeError(limitBytes);
  }
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  return await new Promise((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > limitBytes) {
        chunks.length = 0;
        reject(createBodyTooLargeError(limitBytes));
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.once('error', () => {
      reject(new ZincringError('bad-request', { detail: 'the body was cut off' }));
    });
  });
}

/** Parses a JSON body; throws the kinds `bad-request` and `body-too-deep`. */
export function parseJson(body: Buffer, depthLimit: number): unknown {
  if (isDeeperThan(body, depthLimit)) {
    throw new ZincringError('body-too-deep', { detail: `the limit is ${depthLimit} levels` });
  }
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new ZincringError('bad-request', { detail: 'the body is not JSON' });
  }
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKETS: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const CLOSING_BRACKETS: ReadonlySet<number> = new Set([0x5d, 0x7d]);

/**
 * Checks whether JSON text is nested deeper than a limit, without parsing it.
 *
 * @example
 * isDeeperThan(Buffer.from('[[1]]'), 1); // true
 */
export function isDeeperThan(text: Uint8Array, limit: number): boolean {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index++) {
    const byte = text[index] ?? 0;
    if (isInString) {
      index += byte === BACKSLASH ? 1 : 0;
      isInString = byte !== QUOTE;
      continue;
    }
    isInString = byte === QUOTE;
    depth += OPENING_BRACKETS.has(byte) ? 1 : CLOSING_BRACKETS.has(byte) ? -1 : 0;
    if (depth > limit) {
      return true;
    }
  }
  return false;
}

function createBodyTooLargeError(limitBytes: number): ZincringError {
  return new ZincringError('body-too-large', { detail: `the limit is ${limitBytes} bytes` });
}
