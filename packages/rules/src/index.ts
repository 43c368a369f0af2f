export type {
  KeyRule,
  ProgramRule,
  RouteRule,
  Rule,
  RuleKind,
  RuleOf,
  RuleOrigin,
  ServiceProtocol,
  ServiceRule,
  WorkspaceRule,
} from './rule.js';
export type { RuleError } from './ruleError.js';
export { formatRuleError } from './ruleError.js';
export { ruleGrammars, ruleKinds } from './ruleGrammar.js';
export { findNearestWord } from './findNearestWord.js';
export { parseRules } from './parseRules.js';
export { parseRuleLine } from './parseRuleLine.js';
export { printRule, printRules } from './printRule.js';
export type { Configuration } from './configuration.js';
export { createConfiguration } from './configuration.js';
export { diffRuleLines, parseCanonicalLines } from './ruleLines.js';
export type { RuleChange, RuleDifference } from './ruleSet.js';
export { RuleSet } from './ruleSet.js';
