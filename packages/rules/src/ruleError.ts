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

/** Longest quotation of what was read, in characters. */
const LONGEST_QUOTATION = 80;

/**
 * One line of text for a person. What was read is shortened and escaped, so that a broken file
 * cannot write control sequences to a terminal.
 *
 * @example
 * formatRuleError({ line: 3, found: 'ratte', expected: 'a setting of workspace', suggestion: 'rate' });
 * // line 3: found "ratte", expected a setting of workspace; did you mean "rate"?
 */
export function formatRuleError(error: RuleError): string {
  const hint = error.suggestion === undefined ? '' : `; did you mean "${error.suggestion}"?`;
  return `line ${error.line}: found "${quote(error.found)}", expected ${error.expected}${hint}`;
}

function quote(text: string): string {
  const escaped = text.slice(0, LONGEST_QUOTATION).replace(/[\p{C}\p{Zl}\p{Zp}]/gu, character => {
    const codePoint = character.codePointAt(0) ?? 0;
    return `<U+${codePoint.toString(16).toUpperCase().padStart(4, '0')}>`;
  });
  return text.length > LONGEST_QUOTATION ? `${escaped}…` : escaped;
}
