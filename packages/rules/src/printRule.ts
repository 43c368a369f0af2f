import type { Rule } from './rule.js';

import { writeSettings } from './ruleGrammar.js';

/**
 * Writes a rule in canonical form: settings in the order of the grammar, defaults left out.
 * Two lines that mean the same are the same in canonical form.
 *
 * @example
 * printRule(rule); // 'workspace utility rate=50 burst=100 # dana: pilot contract'
 */
export function printRule(rule: Rule): string {
  const settings = writeSettings(rule).map(({ name, value }) => `${name}=${value}`);
  return `${[rule.kind, rule.name, ...settings].join(' ')} # ${rule.requester}: ${rule.reason}`;
}

/**
 * Writes rules as a rule file, one rule a line.
 *
 * @example
 * parseRules(printRules(rules)); // the same rules
 */
export function printRules(rules: readonly Rule[]): string {
  return rules.map(rule => `${printRule(rule)}\n`).join('');
}
