import { isIdentifier } from '@zincring/core';

import type { ChangeOptions } from './controlContext.js';

const LONGEST_REQUESTER = 128;
const LONGEST_REASON = 800;
const CONTROL_CHARACTERS = /[\p{Cc}\p{Cs}\p{Zl}\p{Zp}\u202a-\u202e\u2066-\u2069\ufeff]/u;

/**
 * Checks who asks and why: both stand in the audit, and in the comment of a rule.
 *
 * @returns what is wrong; `undefined` when nothing is
 * @example
 * checkChangeOptions({ changeId, reason: 'pilot', requester: '', waitSeconds: 0 });
 * // '--requester must be 1 to 128 characters without ":" and "#"'
 */
export function checkChangeOptions(options: ChangeOptions): string | undefined {
  const requester = options.requester.trim();
  const reason = options.reason.trim();
  if (requester === '' || requester.length > LONGEST_REQUESTER || /[:#]/.test(requester)) {
    return `--requester must be 1 to ${LONGEST_REQUESTER} characters without ":" and "#"`;
  }
  if (reason === '' || reason.length > LONGEST_REASON) {
    return `--reason must be 1 to ${LONGEST_REASON} characters`;
  }
  if (CONTROL_CHARACTERS.test(requester + reason)) {
    return '--requester and --reason must not hold control characters';
  }
  if (!isIdentifier(options.changeId)) {
    return '--change-id must be an identifier';
  }
  return options.waitSeconds >= 0 ? undefined : '--wait-seconds must not be below 0';
}
