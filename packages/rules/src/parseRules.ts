import type { Result } from '@zincring/core';

import { Err, isIdentifier, Ok } from '@zincring/core';

import type { Rule, RuleKind, RuleOrigin } from './rule.js';
import type { RuleError } from './ruleError.js';

import { nearestWord } from './nearestWord.js';
import { ruleGrammars, ruleKinds } from './ruleGrammar.js';
import { SettingReader } from './settingReader.js';

/** Longest rule line, in characters. */
const LONGEST_LINE = 4_096;
/** Most lines in a rule file. */
const MOST_LINES = 100_000;

/**
 * Parses a rule file: one rule a line, `KIND NAME key=value … # requester: reason`.
 * Empty lines and lines that begin with `#` are passed over.
 *
 * @returns the rules, or every error with its line
 * @example
 * parseRules('workspace utility rate=50 burst=100 # dana: pilot contract');
 */
export function parseRules(text: string): Result<readonly Rule[], readonly RuleError[]> {
  const lines = text.split(/\r?\n/);
  if (lines.length > MOST_LINES) {
    return Err([
      {
        expected: `at most ${MOST_LINES} lines`,
        found: `${lines.length} lines`,
        line: MOST_LINES + 1,
      },
    ]);
  }
  const rules: Rule[] = [];
  const errors: RuleError[] = [];
  for (const [index, line] of lines.entries()) {
    const trimmed = line.trim();
    if (trimmed === '' || trimmed.startsWith('#')) {
      continue;
    }
    const parsed = parseLine(trimmed, index + 1);
    if (parsed.ok) {
      rules.push(parsed.val);
    } else {
      errors.push(...parsed.val);
    }
  }
  errors.push(...findBrokenReferences(rules));
  return errors.length === 0
    ? Ok(rules)
    : Err(errors.sort((left, right) => left.line - right.line));
}

function parseLine(text: string, line: number): Result<Rule, readonly RuleError[]> {
  if (text.length > LONGEST_LINE) {
    const found = `${text.length} characters`;
    return Err([{ expected: `at most ${LONGEST_LINE} characters`, found, line }]);
  }
  const [body = '', comment] = splitComment(text);
  const origin = parseOrigin(comment, line);
  if (origin.err) {
    return Err([origin.val]);
  }
  const [kind = '', name = '', ...words] = body.split(/\s+/);
  if (!isRuleKind(kind)) {
    return Err([
      withSuggestion({ expected: ruleKinds.join('|'), found: kind, line }, kind, ruleKinds),
    ]);
  }
  if (!isIdentifier(name)) {
    return Err([{ expected: `a name for the ${kind}`, found: name, line }]);
  }
  const settings = parseSettings(kind, words, line);
  if (settings.err) {
    return Err(settings.val);
  }
  const reader = new SettingReader(settings.val);
  const rule = ruleGrammars[kind].build(name, reader, origin.val);
  return reader.errors.length === 0
    ? Ok(rule)
    : Err(reader.errors.map(error => ({ ...error, line })));
}

function splitComment(text: string): readonly (string | undefined)[] {
  const position = text.indexOf('#');
  return position < 0
    ? [text.trim()]
    : [text.slice(0, position).trim(), text.slice(position + 1).trim()];
}

function parseOrigin(comment: string | undefined, line: number): Result<RuleOrigin, RuleError> {
  const match = /^([^:]+):\s*(\S.*)$/.exec(comment ?? '');
  const requester = match?.[1]?.trim();
  const reason = match?.[2];
  if (requester === undefined || requester === '' || reason === undefined) {
    return Err({
      expected: 'a comment "# requester: reason"',
      found: comment ?? 'no comment',
      line,
    });
  }
  return Ok({ line, reason, requester });
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
      errors.push(withSuggestion({ expected, found: word, line }, name, known));
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

function withSuggestion(error: RuleError, word: string, known: readonly string[]): RuleError {
  const suggestion = nearestWord(word, known);
  return suggestion === undefined ? error : { ...error, suggestion };
}

function findBrokenReferences(rules: readonly Rule[]): readonly RuleError[] {
  const workspaces = rules.filter(rule => rule.kind === 'workspace').map(rule => rule.name);
  const services = rules.filter(rule => rule.kind === 'service').map(rule => rule.name);
  const seen = new Set<string>();
  const errors: RuleError[] = [];
  const refer = (line: number, kind: RuleKind, name: string, known: readonly string[]): void => {
    if (!known.includes(name)) {
      errors.push(
        withSuggestion({ expected: `the name of a ${kind} rule`, found: name, line }, name, known),
      );
    }
  };
  for (const rule of rules) {
    const identity = `${rule.kind} ${rule.name}`;
    if (seen.has(identity)) {
      errors.push({ expected: 'each rule once', found: identity, line: rule.line });
    }
    seen.add(identity);
    if (rule.kind === 'key') {
      refer(rule.line, 'workspace', rule.workspace, workspaces);
    }
    if (rule.kind === 'route') {
      refer(rule.line, 'service', rule.service, services);
    }
    if (rule.kind === 'program') {
      for (const service of rule.services) {
        refer(rule.line, 'service', service, services);
      }
    }
  }
  return errors;
}
