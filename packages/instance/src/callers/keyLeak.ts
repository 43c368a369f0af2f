import type { Configuration } from '@zincring/rules';

import { hashKey, ZincringError } from '@zincring/core';

/** Parts of a request that reach an upstream beside the body. */
export interface ForwardedParts {
  readonly target: string;
  readonly headers: readonly string[];
}

/** What separates values in paths, queries and headers. */
const SEPARATOR_PATTERN = /[\s/?&=;,]+/;

/**
 * Refuses a request that carries a key where an upstream would see it; throws the kind
 * `bad-request`.
 *
 * @param authorization value of the header of that name, which never goes upstream
 */
export function refuseLeakedKey(
  configuration: Configuration,
  authorization: string | undefined,
  parts: ForwardedParts,
): void {
  const texts = [parts.target, ...parts.headers].flatMap(text => [text, decodeLoosely(text)]);
  const token = authorization?.replace(/^Bearer /i, '');
  const holdsToken =
    token !== undefined && token !== '' && texts.some(text => text.includes(token));
  const values = new Set(texts.flatMap(text => text.split(SEPARATOR_PATTERN)));
  const holdsKey = [...values].some(
    value => value !== '' && configuration.keys.has(hashKey(value)),
  );
  if (holdsToken || holdsKey) {
    throw new ZincringError('bad-request', {
      detail: 'a key may stand in the authorization header only',
    });
  }
}

function decodeLoosely(text: string): string {
  const spaced = text.replaceAll('+', ' ');
  return spaced.replace(/%([0-9a-f]{2})/gi, (_match, code: string) =>
    String.fromCharCode(Number.parseInt(code, 16)),
  );
}
