import type { Result } from '@zincring/core';

import type { RuleError } from './ruleError.js';
import type { RuleDifference } from './ruleSet.js';

import { parseRules } from './parseRules.js';
import { printRule } from './printRule.js';

/**
 * Parses a rule file and prints its rules in canonical form, one line each.
 *
 * @returns the lines, or all errors with their line numbers
 * @example
 * parseCanonicalLines('# head\nworkspace  a burst=1 rate=1 # b: c').unwrap(); // ['workspace a rate=1 burst=1 # b: c']
 */
export function parseCanonicalLines(text: string): Result<readonly string[], readonly RuleError[]> {
  return parseRules(text).map(rules => rules.map(printRule));
}

/**
 * Computes the difference that changes one list of canonical lines into another.
 *
 * @example
 * diffRuleLines(['a', 'b'], ['b', 'c']); // { added: ['c'], removed: ['a'] }
 */
export function diffRuleLines(
  current: readonly string[],
  desired: readonly string[],
): RuleDifference {
  const currentLines = new Set(current);
  const desiredLines = new Set(desired);
  return {
    added: desired.filter(line => !currentLines.has(line)),
    removed: current.filter(line => !desiredLines.has(line)),
  };
}
