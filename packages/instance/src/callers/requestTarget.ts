import { ZincringError } from '@zincring/core';

/** Where a request goes: the path in one form, and its query. */
export interface RequestTarget {
  /** The path, with what needs no percent-encoding decoded. */
  readonly pathname: string;
  /** Non-empty segments of {@link RequestTarget.pathname}, still percent-encoded. */
  readonly segments: readonly string[];
  /** The query with its question mark; empty without one. */
  readonly search: string;
}

/** A path and a query of visible ASCII, but for what no target may hold unencoded. */
const TARGET_PATTERN = /^\/[!$-;=?-[\]_a-z~]*$/;
const ABSOLUTE_FORM_PATTERN = /^https?:\/\/[^/?#]*/i;
const BAD_ENCODING_PATTERN = /%(?![0-9a-f]{2})/i;
const ENCODED_UNRESERVED_PATTERN = /%(2d|2e|3[0-9]|4[1-9a-f]|5[0-9af]|6[1-9a-f]|7[0-9ae])/gi;
/** Encoded control characters, percent signs, slashes and backslashes. */
const ENCODED_DELIMITER_PATTERN = /%([01][0-9a-f]|25|2f|5c|7f)/i;
/** A dot segment, also one with parameters. */
const DOT_SEGMENT_PATTERN = /^\.{1,2}(;.*)?$/;

/**
 * Parses the target of a request. A path that a service could read differently than the routes
 * do, by dot segments, doubled slashes or encoded delimiters, is refused; throws the kind
 * `bad-request`.
 *
 * @example
 * parseRequestTarget('/status/%7Ecity?since=1').pathname; // '/status/~city'
 */
export function parseRequestTarget(target: string): RequestTarget {
  const origin = target.replace(ABSOLUTE_FORM_PATTERN, '');
  const url = origin.startsWith('/') ? origin : `/${origin}`;
  if (!TARGET_PATTERN.test(url) || (origin === target && origin !== url)) {
    throw refuse('the target is not a path');
  }
  const queryStart = url.indexOf('?');
  const rawPath = queryStart < 0 ? url : url.slice(0, queryStart);
  const search = queryStart < 0 ? '' : url.slice(queryStart);
  if (BAD_ENCODING_PATTERN.test(url) || ENCODED_DELIMITER_PATTERN.test(rawPath)) {
    throw refuse('the target has a percent-encoding that is not accepted');
  }
  const pathname = rawPath.replace(ENCODED_UNRESERVED_PATTERN, decodeURIComponent);
  const segments = pathname.split('/').slice(1);
  if (segments.some(segment => DOT_SEGMENT_PATTERN.test(segment))) {
    throw refuse('the path has a dot segment');
  }
  if (segments.slice(0, -1).includes('')) {
    throw refuse('the path has an empty segment');
  }
  return { pathname, search, segments: segments.filter(segment => segment !== '') };
}

function refuse(detail: string): ZincringError {
  return new ZincringError('bad-request', { detail });
}
