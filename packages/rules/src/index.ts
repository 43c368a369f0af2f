export type {
  KeyRule,
  ProgramRule,
  RouteRule,
  Rule,
  RuleKind,
  RuleOrigin,
  ServiceProtocol,
  ServiceRule,
  WorkspaceRule,
} from './rule.js';
export type { RuleError } from './ruleError.js';
export { formatRuleError } from './ruleError.js';
export { ruleGrammars, ruleKinds } from './ruleGrammar.js';
export { parseRules } from './parseRules.js';
export type { Configuration } from './configuration.js';
export { createConfiguration } from './configuration.js';
export { ruleLines } from './ruleLines.js';
