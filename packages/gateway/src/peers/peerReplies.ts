import type { JsonFields } from '../util/jsonFields.js';

import { isNumber } from '../util/jsonFields.js';
import { readAnnouncedRate } from './peerMessages.js';

/** Checks the fields of a reply. */
export type ReplyCheck = (fields: JsonFields) => boolean;

/**
 * Whether fields are a reply to a call for credit.
 *
 * @example
 * isCreditReply({ kind: 'granted' }); // true
 */
export function isCreditReply({ kind, retryAfterMilliseconds }: JsonFields): boolean {
  return kind === 'denied'
    ? isNumber(retryAfterMilliseconds)
    : kind === 'granted' || kind === 'pending' || kind === 'without-store';
}

/**
 * Whether fields are a reply to a request for a permit.
 *
 * @example
 * isPermitReply({ announced: { ageMilliseconds: 3 }, delayMilliseconds: 0, kind: 'granted' }); // true
 */
export function isPermitReply(fields: JsonFields): boolean {
  const { announced, delayMilliseconds, kind, retryAfterMilliseconds } = fields;
  return (
    readAnnouncedRate(announced) !== undefined &&
    ((kind === 'granted' && isNumber(delayMilliseconds)) ||
      (kind === 'denied' && isNumber(retryAfterMilliseconds)))
  );
}

/**
 * Whether fields are a reply to a call for tokens.
 *
 * @example
 * isTokensReply({ kind: 'spent' }); // true
 */
export function isTokensReply({ kind }: JsonFields): boolean {
  return kind === 'held' || kind === 'pending' || kind === 'spent' || kind === 'without-store';
}
