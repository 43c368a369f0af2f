import { ZincringError } from '@zincring/core';

/** Target of a request: its normalized path and its query. */
export interface RequestTarget {
  /** The path, with percent-encoded unreserved characters decoded. */
  readonly pathname: string;
  /** Non-empty segments of {@link RequestTarget.pathname}, still percent-encoded. */
  readonly segments: readonly string[];
  /** The query with its question mark; empty if there is none. */
  readonly search: string;
}

/**
 * A path and a query of visible ASCII characters, except for those that must be percent-encoded.
 */
const TARGET_PATTERN = /^\/[!$-;=?-[\]_a-z~]*$/;
const ABSOLUTE_FORM_PATTERN = /^https?:\/\/[^/?#]*/i;
const MALFORMED_ENCODING_PATTERN = /%(?![0-9a-f]{2})/i;
const ENCODED_UNRESERVED_PATTERN = /%(2d|2e|3[0-9]|4[1-9a-f]|5[0-9af]|6[1-9a-f]|7[0-9ae])/gi;
/** Encoded control characters, percent signs, slashes and backslashes. */
const ENCODED_DELIMITER_PATTERN = /%([01][0-9a-f]|25|2f|5c|7f)/i;
/** A dot segment, with or without parameters. */
const DOT_SEGMENT_PATTERN = /^\.{1,2}(;.*)?$/;

/**
 * Parses the target of a request. A path with dot segments, empty segments or encoded delimiters,
 * which a service could interpret differently from the router, is refused; throws the kind
 * `bad-request`.
 *
 * @example
 * parseRequestTarget('/status/%7Ecity?since=1').pathname; // '/status/~city'
 */
export function parseRequestTarget(target: string): RequestTarget {
  const originForm = target.replace(ABSOLUTE_FORM_PATTERN, '');
  const rootedTarget = originForm.startsWith('/') ? originForm : `/${originForm}`;
  if (
    !TARGET_PATTERN.test(rootedTarget) ||
    (originForm === target && originForm !== rootedTarget)
  ) {
    throw createBadRequestError('the target is not a path');
  }
  const queryStart = rootedTarget.indexOf('?');
  const rawPath = queryStart < 0 ? rootedTarget : rootedTarget.slice(0, queryStart);
  const search = queryStart < 0 ? '' : rootedTarget.slice(queryStart);
  if (MALFORMED_ENCODING_PATTERN.test(rootedTarget) || ENCODED_DELIMITER_PATTERN.test(rawPath)) {
    throw createBadRequestError('the target has a percent-encoding that is not accepted');
  }
  const pathname = rawPath.replace(ENCODED_UNRESERVED_PATTERN, decodeURIComponent);
  const segments = pathname.split('/').slice(1);
  if (segments.some(segment => DOT_SEGMENT_PATTERN.test(segment))) {
    throw createBadRequestError('the path has a dot segment');
  }
  if (segments.slice(0, -1).includes('')) {
    throw createBadRequestError('the path has an empty segment');
  }
  return { pathname, search, segments: segments.filter(segment => segment !== '') };
}

function createBadRequestError(detail: string): ZincringError {
  return new ZincringError('bad-request', { detail });
}
