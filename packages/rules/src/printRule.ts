import type { Rule } from './rule.js';

import { serializeSettings } from './ruleGrammar.js';

/**
 * Prints a rule in canonical form: settings in the order of the grammar, without those that equal
 * their default. Equivalent rule lines have the same canonical form.
 *
 * @example
 * printRule(rule); // 'workspace utility rate=50 burst=100 # dana: pilot contract'
 */
export function printRule(rule: Rule): string {
  const settings = serializeSettings(rule).map(({ name, value }) => `${name}=${value}`);
  return `${[rule.kind, rule.name, ...settings].join(' ')} # ${rule.requester}: ${rule.reason}`;
}

/**
 * Prints rules as a rule file, one rule per line.
 *
 * @example
 * parseRules(printRules(rules)); // the same rules
 */
export function printRules(rules: readonly Rule[]): string {
  return rules.map(rule => `${printRule(rule)}\n`).join('');
}
