import type { Result } from '@zincring/core';

import { Err, isIdentifier, Ok } from '@zincring/core';

import type { Rule, RuleKind, RuleOrigin } from './rule.js';
import type { RuleError } from './ruleError.js';

import { nearestWord } from './nearestWord.js';
import { buildRule, ruleGrammars, ruleKinds } from './ruleGrammar.js';
import { SettingReader } from './settingReader.js';

/** Longest rule line, in UTF-16 code units. */
const LONGEST_LINE = 4_096;

/** Longest part before the comment; with the comment's bounds a canonical line is never too long. */
const LONGEST_BODY = 3_000;
const LONGEST_REQUESTER = 128;
const LONGEST_REASON = 800;
/**
 * What a comment may not hold: control characters, unpaired surrogates, line separators, and the
 * controls that make text read in another order than it is stored.
 */
const FORBIDDEN_IN_COMMENT =
  /[\p{Cc}\p{Cs}\p{Zl}\p{Zp}\u061c\u200e\u200f\u202a-\u202e\u2066-\u2069\ufeff]/u;
/** What may stand before the comment. */
const FORBIDDEN_IN_BODY = /[^\u0020-\u007e\t]/u;

/**
 * Parses one rule line, `KIND NAME key=value … # requester: reason`.
 *
 * @param text the line without its line break
 * @param line its number, from 1
 * @returns the rule, or every error of the line
 */
export function parseRuleLine(text: string, line: number): Result<Rule, readonly RuleError[]> {
  if (text.length > LONGEST_LINE) {
    const found = `${text.length} characters`;
    return Err([{ expected: `at most ${LONGEST_LINE} characters a line`, found, line }]);
  }
  const [body, comment] = splitComment(text);
  if (body.length > LONGEST_BODY) {
    const found = `${body.length} characters`;
    return Err([{ expected: `at most ${LONGEST_BODY} characters of settings`, found, line }]);
  }
  const foreign = FORBIDDEN_IN_BODY.exec(body)?.[0];
  if (foreign !== undefined) {
    const expected = 'only printable ASCII, blanks and tabs before the comment';
    return Err([{ expected, found: foreign, line }]);
  }
  const origin = parseOrigin(comment, line);
  if (origin.err) {
    return Err([origin.val]);
  }
  const [kind = '', name = '', ...words] = body.trim().split(/[ \t]+/);
  if (!isRuleKind(kind)) {
    return Err([withSuggestion({ expected: ruleKinds.join('|'), found: kind, line }, ruleKinds)]);
  }
  const nameError = checkName(kind, name);
  const settings = parseSettings(kind, words, line);
  if (nameError !== undefined || settings.err) {
    const nameErrors = nameError === undefined ? [] : [{ expected: nameError, found: name, line }];
    return Err([...nameErrors, ...(settings.err ? settings.val : [])]);
  }
  const reader = new SettingReader(settings.val);
  const rule = buildRule(kind, name, reader, origin.val);
  return reader.errors.length === 0
    ? Ok(rule)
    : Err(reader.errors.map(error => ({ ...error, line })));
}

/** Adds the nearest known word to an error, where one is near to what was found. */
export function withSuggestion(
  error: RuleError,
  known: readonly string[],
  word = error.found,
): RuleError {
  const suggestion = nearestWord(word, known);
  return suggestion === undefined ? error : { ...error, suggestion };
}

function splitComment(text: string): readonly [string, string | undefined] {
  const position = text.indexOf('#');
  return position < 0 ? [text, undefined] : [text.slice(0, position), text.slice(position + 1)];
}

function parseOrigin(comment: string | undefined, line: number): Result<RuleOrigin, RuleError> {
  const expected = 'a comment "# requester: reason"';
  if (comment === undefined) {
    return Err({ expected, found: 'no comment', line });
  }
  const text = comment.normalize('NFC').replace(/\s+/gu, match => (isBlank(match) ? ' ' : match));
  const foreign = FORBIDDEN_IN_COMMENT.exec(text)?.[0];
  if (foreign !== undefined) {
    return Err({ expected: 'a comment without control characters', found: foreign, line });
  }
  const separator = text.indexOf(':');
  const requester = text.slice(0, Math.max(0, separator)).trim();
  const reason = text.slice(separator + 1).trim();
  if (separator < 0 || requester === '' || reason === '' || requester.includes('#')) {
    return Err({ expected, found: text.trim(), line });
  }
  if (requester.length > LONGEST_REQUESTER || reason.length > LONGEST_REASON) {
    const bounds = `at most ${LONGEST_REQUESTER} and ${LONGEST_REASON} characters`;
    return Err({ expected: `requester and reason of ${bounds}`, found: text.trim(), line });
  }
  return Ok({ line, reason, requester });
}

/** Whether white space is harmless: all of it but line breaks and other controls. */
function isBlank(text: string): boolean {
  return /^[\t\p{Zs}]+$/u.test(text);
}

function checkName(kind: RuleKind, name: string): string | undefined {
  if (!isIdentifier(name)) {
    return `a name for the ${kind}`;
  }
  return ruleGrammars[kind].reservedNames.includes(name)
    ? `a name for the ${kind} that is not reserved`
    : undefined;
}

function parseSettings(
  kind: RuleKind,
  words: readonly string[],
  line: number,
): Result<ReadonlyMap<string, string>, readonly RuleError[]> {
  const known = ruleGrammars[kind].settings;
  const settings = new Map<string, string>();
  const errors: RuleError[] = [];
  for (const word of words) {
    const separator = word.indexOf('=');
    const name = separator < 0 ? word : word.slice(0, separator);
    if (separator < 0 || !known.includes(name)) {
      const expected = `a setting of ${kind}: ${known.map(each => `${each}=`).join(' ')}`;
      errors.push(withSuggestion({ expected, found: word, line }, known, name));
    } else if (settings.has(name)) {
      errors.push({ expected: `${name}= once`, found: word, line });
    } else {
      settings.set(name, word.slice(separator + 1));
    }
  }
  return errors.length === 0 ? Ok(settings) : Err(errors);
}

function isRuleKind(text: string): text is RuleKind {
  return Object.hasOwn(ruleGrammars, text);
}
