import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';

import type { Rule } from './rule.js';
import type { RuleError } from './ruleError.js';

import { parseRuleLine } from './parseRuleLine.js';
import { RuleIndex } from './ruleIndex.js';
import { MOST_RULES } from './ruleSet.js';

/** Most lines in a rule file, comment lines and empty ones included. */
const MOST_LINES = 2 * MOST_RULES;
/** Largest rule file, in UTF-16 code units. */
const LARGEST_FILE = 32 * 1024 * 1024;
/** Most errors that are told at once. */
const MOST_ERRORS = 100;
/** Written by some editors at the beginning of a file. */
const BYTE_ORDER_MARK = '\ufeff';

/**
 * Parses a rule file: one rule a line, `KIND NAME key=value … # requester: reason`. Empty lines
 * and lines that begin with `#` are passed over. Lines end in LF or CR LF; a byte order mark at
 * the beginning is passed over.
 *
 * @returns the rules, or every error with its line
 * @example
 * parseRules('workspace utility rate=50 burst=100 # dana: pilot contract');
 */
export function parseRules(text: string): Result<readonly Rule[], readonly RuleError[]> {
  if (text.length > LARGEST_FILE) {
    const found = `${text.length} characters`;
    return Err([{ expected: `at most ${LARGEST_FILE} characters`, found, line: 1 }]);
  }
  const lines = splitLines(text);
  if (lines.length > MOST_LINES) {
    const found = `${lines.length} lines`;
    return Err([{ expected: `at most ${MOST_LINES} lines`, found, line: MOST_LINES + 1 }]);
  }
  const { errors, rules } = parseLines(lines);
  if (rules.length > MOST_RULES) {
    const found = `${rules.length} rules`;
    const line = rules[MOST_RULES]?.line ?? lines.length;
    errors.push({ expected: `at most ${MOST_RULES} rules`, found, line });
  }
  const index = new RuleIndex();
  errors.push(...rules.flatMap(rule => index.insert(rule)));
  errors.push(...index.findBrokenReferences(rules));
  return errors.length === 0 ? Ok(rules) : Err(inOrder(errors));
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

function inOrder(errors: readonly RuleError[]): readonly RuleError[] {
  const sorted = [...errors].sort((left, right) => left.line - right.line);
  const rest = sorted[MOST_ERRORS];
  if (rest === undefined) {
    return sorted;
  }
  const found = `${sorted.length - MOST_ERRORS} more errors`;
  const expected = `at most ${MOST_ERRORS} errors at once`;
  return [...sorted.slice(0, MOST_ERRORS), { expected, found, line: rest.line }];
}
