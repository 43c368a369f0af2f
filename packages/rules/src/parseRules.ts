import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';

import type { Rule } from './rule.js';
import type { RuleError } from './ruleError.js';

import { parseRuleLine } from './parseRuleLine.js';
import { RuleIndex } from './ruleIndex.js';
import { MAXIMUM_RULES } from './ruleSet.js';

/** Maximum number of lines in a rule file, including comments and empty lines. */
const MAXIMUM_LINES = 2 * MAXIMUM_RULES;
/** Maximum length of a rule file, in UTF-16 code units. */
const MAXIMUM_FILE_LENGTH = 32 * 1024 * 1024;
/** Maximum number of errors reported for a file; a last error gives the number omitted. */
const MAXIMUM_REPORTED_ERRORS = 100;
/** Byte order mark that some editors write at the start of a file. */
const BYTE_ORDER_MARK = '\ufeff';

/**
 * Parses a rule file: one rule per line, `KIND NAME key=value … # requester: reason`. Empty lines
 * and lines that start with `#` are ignored, and so is a byte order mark at the start of the file.
 * Lines end in LF or CR LF.
 *
 * @returns the rules, or the errors in the order of their lines
 * @example
 * parseRules('workspace utility rate=50 burst=100 # dana: pilot contract');
 */
export function parseRules(text: string): Result<readonly Rule[], readonly RuleError[]> {
  if (text.length > MAXIMUM_FILE_LENGTH) {
    const found = `${text.length} characters`;
    return Err([{ expected: `at most ${MAXIMUM_FILE_LENGTH} characters`, found, line: 1 }]);
  }
  const lines = splitLines(text);
  if (lines.length > MAXIMUM_LINES) {
    const found = `${lines.length} lines`;
    return Err([{ expected: `at most ${MAXIMUM_LINES} lines`, found, line: MAXIMUM_LINES + 1 }]);
  }
  const { errors, rules } = parseLines(lines);
  if (rules.length > MAXIMUM_RULES) {
    const found = `${rules.length} rules`;
    const line = rules[MAXIMUM_RULES]?.line ?? lines.length;
    errors.push({ expected: `at most ${MAXIMUM_RULES} rules`, found, line });
  }
  const index = new RuleIndex();
  errors.push(...rules.flatMap(rule => index.insert(rule)));
  errors.push(...index.findBrokenReferences(rules));
  return errors.length === 0 ? Ok(rules) : Err(sortAndTruncate(errors));
}

function splitLines(text: string): readonly string[] {
  const content = text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text;
  return content.split(/\r?\n/);
}

interface ParsedLines {
  readonly rules: Rule[];
  readonly errors: RuleError[];
}

function parseLines(lines: readonly string[]): ParsedLines {
  const parsed: ParsedLines = { errors: [], rules: [] };
  for (const [index, line] of lines.entries()) {
    const text = line.replace(/^[ \t]+/, '');
    if (text === '' || text.startsWith('#')) {
      continue;
    }
    const rule = parseRuleLine(line, index + 1);
    if (rule.ok) {
      parsed.rules.push(rule.val);
    } else {
      parsed.errors.push(...rule.val);
    }
  }
  return parsed;
}

function sortAndTruncate(errors: readonly RuleError[]): readonly RuleError[] {
  const sorted = [...errors].sort((left, right) => left.line - right.line);
  const firstOmitted = sorted[MAXIMUM_REPORTED_ERRORS];
  if (firstOmitted === undefined) {
    return sorted;
  }
  const found = `${sorted.length - MAXIMUM_REPORTED_ERRORS} more errors`;
  const expected = `at most ${MAXIMUM_REPORTED_ERRORS} errors at once`;
  return [
    ...sorted.slice(0, MAXIMUM_REPORTED_ERRORS),
    { expected, found, line: firstOmitted.line },
  ];
}
