export type { ApplyOptions, ApplyOutcome, ChangeOrigin } from './applyRules.js';
export { applyRules } from './applyRules.js';
