import type { Result } from '@zincring/core';

import type { RuleError } from './ruleError.js';
import type { RuleDifference } from './ruleSet.js';

import { parseRules } from './parseRules.js';
import { printRule } from './printRule.js';

/**
 * The rules of a file in canonical form, one line each.
 *
 * @returns the lines, or every error with its line
 * @example
 * ruleLines('# head\nworkspace  a burst=1 rate=1 # b: c').unwrap(); // ['workspace a rate=1 burst=1 # b: c']
 */
export function ruleLines(text: string): Result<readonly string[], readonly RuleError[]> {
  return parseRules(text).map(rules => rules.map(printRule));
}

/**
 * What turns one list of canonical lines into another.
 *
 * @example
 * differenceOf(['a', 'b'], ['b', 'c']); // { added: ['c'], removed: ['a'] }
 */
export function differenceOf(
  current: readonly string[],
  wanted: readonly string[],
): RuleDifference {
  const before = new Set(current);
  const after = new Set(wanted);
  return {
    added: wanted.filter(line => !before.has(line)),
    removed: current.filter(line => !after.has(line)),
  };
}
