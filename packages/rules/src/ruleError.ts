/** Error in one line of a rule file. */
export interface RuleError {
  /** Line number in the file, starting at 1. */
  readonly line: number;
  /** Text that was read. */
  readonly found: string;
  /** Description of the expected text. */
  readonly expected: string;
  /** Nearest known word, if one is near. */
  readonly suggestion?: string;
}

/** Maximum length of quoted input, in UTF-16 code units; longer input is cut. */
const MAXIMUM_QUOTATION_LENGTH = 80;

/**
 * Formats an error as one line of text. The quoted input is truncated and escaped, so that a
 * malformed file cannot write control sequences to a terminal.
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
  const escaped = text
    .slice(0, MAXIMUM_QUOTATION_LENGTH)
    .replace(/[\p{C}\p{Zl}\p{Zp}]/gu, character => {
      const codePoint = character.codePointAt(0) ?? 0;
      return `<U+${codePoint.toString(16).toUpperCase().padStart(4, '0')}>`;
    });
  return text.length > MAXIMUM_QUOTATION_LENGTH ? `${escaped}…` : escaped;
}
