/** An error in a rule file, exact to the line. */
export interface RuleError {
  /** Line in the file, from 1. */
  readonly line: number;
  /** What was read. */
  readonly found: string;
  /** What was expected instead. */
  readonly expected: string;
  /** The nearest known word, where one is near. */
  readonly suggestion?: string;
}

/**
 * One line of text for a person.
 *
 * @example
 * formatRuleError({ line: 3, found: 'ratte', expected: 'a setting of workspace', suggestion: 'rate' });
 * // line 3: found "ratte", expected a setting of workspace; did you mean "rate"?
 */
export function formatRuleError(error: RuleError): string {
  const hint = error.suggestion === undefined ? '' : `; did you mean "${error.suggestion}"?`;
  return `line ${error.line}: found "${error.found}", expected ${error.expected}${hint}`;
}
