import type { Result } from '@zincring/core';

import { Err, isIdentifier, Ok } from '@zincring/core';

import type { Rule, RuleKind, RuleOrigin } from './rule.js';
import type { RuleError } from './ruleError.js';

import { findNearestWord } from './findNearestWord.js';
import { buildRule, ruleGrammars, ruleKinds } from './ruleGrammar.js';
import { SettingReader } from './settingReader.js';

/** Maximum length of a rule line, in UTF-16 code units. */
const MAXIMUM_LINE_LENGTH = 4_096;

/**
 * Maximum length of the part before the comment, in UTF-16 code units. Together with the limits of
 * requester and reason it keeps every canonical line within the maximum line length.
 */
const MAXIMUM_BODY_LENGTH = 3_000;
const MAXIMUM_REQUESTER_LENGTH = 128;
const MAXIMUM_REASON_LENGTH = 800;
/**
 * Matches characters that are not allowed in a comment: control characters, unpaired surrogates,
 * line and paragraph separators, the byte order mark, and bidirectional controls, which display
 * text in another order than it is stored.
 */
const FORBIDDEN_IN_COMMENT =
  /[\p{Cc}\p{Cs}\p{Zl}\p{Zp}\u061c\u200e\u200f\u202a-\u202e\u2066-\u2069\ufeff]/u;
/** Matches characters that are not allowed before the comment. */
const FORBIDDEN_IN_BODY = /[^\u0020-\u007e\t]/u;

/**
 * Parses one rule line, `KIND NAME key=value … # requester: reason`.
 *
 * @param text the line without its line break
 * @param line the line number, starting at 1
 * @returns the rule, or all errors in the line
 */
export function parseRuleLine(text: string, line: number): Result<Rule, readonly RuleError[]> {
  if (text.length > MAXIMUM_LINE_LENGTH) {
    const found = `${text.length} characters`;
    return Err([{ expected: `at most ${MAXIMUM_LINE_LENGTH} characters a line`, found, line }]);
  }
  const [body, comment] = splitComment(text);
  if (body.length > MAXIMUM_BODY_LENGTH) {
    const found = `${body.length} characters`;
    return Err([
      { expected: `at most ${MAXIMUM_BODY_LENGTH} characters of settings`, found, line },
    ]);
  }
  const forbiddenCharacter = FORBIDDEN_IN_BODY.exec(body)?.[0];
  if (forbiddenCharacter !== undefined) {
    const expected = 'only printable ASCII, blanks and tabs before the comment';
    return Err([{ expected, found: forbiddenCharacter, line }]);
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

/** Adds the nearest known word to an error as a suggestion, if one is near the word found. */
export function withSuggestion(
  error: RuleError,
  knownWords: readonly string[],
  word = error.found,
): RuleError {
  const suggestion = findNearestWord(word, knownWords);
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
  const text = comment
    .normalize('NFC')
    .replace(/\s+/gu, match => (isInlineWhitespace(match) ? ' ' : match));
  const forbiddenCharacter = FORBIDDEN_IN_COMMENT.exec(text)?.[0];
  if (forbiddenCharacter !== undefined) {
    return Err({
      expected: 'a comment without control characters',
      found: forbiddenCharacter,
      line,
    });
  }
  const separator = text.indexOf(':');
  const requester = text.slice(0, Math.max(0, separator)).trim();
  const reason = text.slice(separator + 1).trim();
  if (separator < 0 || requester === '' || reason === '' || requester.includes('#')) {
    return Err({ expected, found: text.trim(), line });
  }
  if (requester.length > MAXIMUM_REQUESTER_LENGTH || reason.length > MAXIMUM_REASON_LENGTH) {
    const limits = `at most ${MAXIMUM_REQUESTER_LENGTH} and ${MAXIMUM_REASON_LENGTH} characters`;
    return Err({ expected: `requester and reason of ${limits}`, found: text.trim(), line });
  }
  return Ok({ line, reason, requester });
}

/** Whether white space consists only of tabs and space separators, without line breaks. */
function isInlineWhitespace(text: string): boolean {
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
  const knownNames = ruleGrammars[kind].settingNames;
  const settings = new Map<string, string>();
  const errors: RuleError[] = [];
  for (const word of words) {
    const separator = word.indexOf('=');
    const name = separator < 0 ? word : word.slice(0, separator);
    if (separator < 0 || !knownNames.includes(name)) {
      const expected = `a setting of ${kind}: ${knownNames.map(known => `${known}=`).join(' ')}`;
      errors.push(withSuggestion({ expected, found: word, line }, knownNames, name));
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
