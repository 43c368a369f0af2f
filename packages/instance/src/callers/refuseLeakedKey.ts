import type { Configuration } from '@zincring/rules';

import { hashKey, ZincringError } from '@zincring/core';

/** Data of a request that is forwarded to an upstream, except for the body. */
export interface ForwardedRequestData {
  readonly target: string;
  readonly headers: readonly string[];
}

/** Matches separators between values in paths, queries and headers. */
const SEPARATOR_PATTERN = /[\s/?&=;,]+/;

/**
 * Refuses a request that contains an API key in data that is forwarded to an upstream; throws the
 * kind `bad-request`.
 *
 * @param authorization value of the `Authorization` header, which is never forwarded
 */
export function refuseLeakedKey(
  configuration: Configuration,
  authorization: string | undefined,
  forwarded: ForwardedRequestData,
): void {
  const texts = [forwarded.target, ...forwarded.headers].flatMap(text => [
    text,
    decodeLeniently(text),
  ]);
  const token = authorization?.replace(/^Bearer /i, '');
  const containsToken =
    token !== undefined && token !== '' && texts.some(text => text.includes(token));
  const values = new Set(texts.flatMap(text => text.split(SEPARATOR_PATTERN)));
  const containsKey = [...values].some(
    value => value !== '' && configuration.keys.has(hashKey(value)),
  );
  if (containsToken || containsKey) {
    throw new ZincringError('bad-request', {
      detail: 'a key may stand in the authorization header only',
    });
  }
}

function decodeLeniently(text: string): string {
  const spaced = text.replaceAll('+', ' ');
  return spaced.replace(/%([0-9a-f]{2})/gi, (_match, code: string) =>
    String.fromCharCode(Number.parseInt(code, 16)),
  );
}
