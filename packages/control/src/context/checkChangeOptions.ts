import { isIdentifier } from '@zincring/core';

import type { ChangeOptions } from './controlContext.js';

const MAXIMUM_REQUESTER_LENGTH = 128;
const MAXIMUM_REASON_LENGTH = 800;
const CONTROL_CHARACTERS = /[\p{Cc}\p{Cs}\p{Zl}\p{Zp}\u202a-\u202e\u2066-\u2069\ufeff]/u;

/**
 * Validates the options of a change. The requester and the reason appear in the audit log and in
 * the comments of rules, so their characters and lengths are restricted.
 *
 * @returns the first problem; `undefined` if the options are valid
 * @example
 * checkChangeOptions({ changeId, reason: 'pilot', requester: '', waitSeconds: 0 });
 * // '--requester must be 1 to 128 characters without ":" and "#"'
 */
export function checkChangeOptions(options: ChangeOptions): string | undefined {
  const requester = options.requester.trim();
  const reason = options.reason.trim();
  if (requester === '' || requester.length > MAXIMUM_REQUESTER_LENGTH || /[:#]/.test(requester)) {
    return `--requester must be 1 to ${MAXIMUM_REQUESTER_LENGTH} characters without ":" and "#"`;
  }
  if (reason === '' || reason.length > MAXIMUM_REASON_LENGTH) {
    return `--reason must be 1 to ${MAXIMUM_REASON_LENGTH} characters`;
  }
  if (CONTROL_CHARACTERS.test(requester + reason)) {
    return '--requester and --reason must not hold control characters';
  }
  if (!isIdentifier(options.changeId)) {
    return '--change-id must be an identifier';
  }
  return options.waitSeconds >= 0 ? undefined : '--wait-seconds must not be below 0';
}
