import { readFileSync } from 'node:fs';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Rule } from '../src/rule.js';

import { parseRules } from '../src/parseRules.js';
import { ruleGrammars } from '../src/ruleGrammar.js';
import { printRule, printRules } from '../src/printRule.js';
import { formatRuleError } from '../src/ruleError.js';

const SEED = 20_261_203;
const HASH = 'a'.repeat(64);
const validLines = [
  'workspace utility rate=50 burst=100 # dana: pilot',
  'service desk # omar: desk',
];

function formatErrors(text: string): readonly string[] {
  const parsed = parseRules(text);
  return parsed.ok ? [] : parsed.val.map(formatRuleError);
}

describe('parseRules', () => {
  it.each([
    ['an empty text', ''],
    ['comment lines and empty lines', '# head\n\n   \t\n  # more\n'],
    ['CR LF and a byte order mark', `\ufeff${validLines.join('\r\n')}\r\n`],
    ['tabs and repeated spaces', 'workspace\tutility   rate=0.5\t burst=1\t# dana:\tpilot'],
    ['a hash sign within the reason', 'service desk # omar: ticket #12: moved'],
    ['Unicode in the comment', 'service desk # สมชาย: จองลานดูดาว – “nachts”'],
    ['every setting', 'service e protocol=engine fencing=checked timeout=1.5 concurrency=9 # a: b'],
    [
      'a route',
      [...validLines, 'route out path=/outages/now service=desk access=open # a: b'].join('\n'),
    ],
    [
      'nested routes',
      [
        ...validLines,
        'route a path=/a service=desk # a: b',
        'route b path=/a/b service=desk # a: b',
      ].join('\n'),
    ],
    [
      'a reference to a later rule',
      `key k workspace=w hash=${HASH} # a: b\nworkspace w rate=1 burst=1 # a: b`,
    ],
    [
      'names of properties of Object.prototype',
      'service constructor # a: b\nprogram toString services=constructor tokens=1 calls=1 # a: b',
    ],
  ])('accepts %s', (_, text) => {
    expect(formatErrors(text)).toEqual([]);
  });

  it.each([
    ['service desk', 'line 1: found "no comment", expected a comment "# requester: reason"'],
    [
      'service desk # only words',
      'line 1: found "only words", expected a comment "# requester: reason"',
    ],
    ['service desk # : why', 'line 1: found ": why", expected a comment "# requester: reason"'],
    ['service desk # dana:', 'line 1: found "dana:", expected a comment "# requester: reason"'],
    [
      'service desk ## dana: why',
      'line 1: found "# dana: why", expected a comment "# requester: reason"',
    ],
    [
      '# head\nservise desk # a: b',
      'line 2: found "servise", expected key|program|route|service|workspace; did you mean "service"?',
    ],
    ['service # a: b', 'line 1: found "", expected a name for the service'],
    ['service a/b # a: b', 'line 1: found "a/b", expected a name for the service'],
    [
      'workspace open rate=1 burst=1 # a: b',
      'line 1: found "open", expected a name for the workspace that is not reserved',
    ],
    [
      'workspace w rate=1 burst=1 wieght=2 # a: b',
      'line 1: found "wieght=2", expected a setting of workspace: rate= burst= weight= programs=; did you mean "weight"?',
    ],
    [
      'workspace w rate burst=1 # a: b',
      'line 1: found "rate", expected a setting of workspace: rate= burst= weight= programs=; did you mean "rate"?',
    ],
    ['workspace w rate=1 rate=2 burst=1 # a: b', 'line 1: found "rate=2", expected rate= once'],
    ['workspace w rate=1 # a: b', 'line 1: found "nothing", expected the setting burst='],
    [
      'workspace w rate=0 burst=1 # a: b',
      'line 1: found "rate=0", expected rate=NUMBER from 0.001 to 1000000000',
    ],
    [
      'workspace w rate=1e3 burst=1 # a: b',
      'line 1: found "rate=1e3", expected rate=NUMBER from 0.001 to 1000000000',
    ],
    [
      'workspace w rate=1 burst=1.5 # a: b',
      'line 1: found "burst=1.5", expected burst=INTEGER from 1 to 1000000000',
    ],
    [
      'workspace w rate=-1 burst=1 # a: b',
      'line 1: found "rate=-1", expected rate=NUMBER from 0.001 to 1000000000',
    ],
    [
      'service s idempotent=true # a: b',
      'line 1: found "idempotent=true", expected idempotent=yes|no',
    ],
    [
      `key k workspace=w hash=${HASH.toUpperCase()} # a: b`,
      `line 1: found "hash=${HASH.toUpperCase()}", expected hash= with 64 hexadecimal digits in lower case`,
    ],
    [
      'service s\u00a0 # a: b',
      'line 1: found "\u00a0", expected only printable ASCII, blanks and tabs before the comment',
    ],
    [
      'service sёrvice # a: b',
      'line 1: found "ё", expected only printable ASCII, blanks and tabs before the comment',
    ],
    [
      'service s # a: b\u001b[31m',
      'line 1: found "<U+001B>", expected a comment without control characters',
    ],
    [
      'service s # a: b\u202ec',
      'line 1: found "<U+202E>", expected a comment without control characters',
    ],
    [
      'service s # a: b\rservice t # a: b',
      'line 1: found "<U+000D>", expected a comment without control characters',
    ],
    [
      'program p services=a,a tokens=1 calls=1 # a: b',
      'line 1: found "services=a,a", expected services= with different identifiers separated by commas',
    ],
    [
      `service s # a: ${'x'.repeat(5_000)}`,
      'line 1: found "5015 characters", expected at most 4096 characters a line',
    ],
  ])('refuses %s', (text, error) => {
    expect(formatErrors(text)).toEqual([error]);
  });

  it.each([
    [
      'a reference to an unknown workspace',
      `key k workspace=utilty hash=${HASH} # a: b`,
      'line 3: found "utilty", expected the name of a workspace rule; did you mean "utility"?',
    ],
    [
      'a reference to an unknown service',
      'program p services=desk,dsk tokens=1 calls=1 # a: b',
      'line 3: found "dsk", expected the name of a service rule; did you mean "desk"?',
    ],
    [
      'a duplicate rule',
      'service desk timeout=5 # a: b',
      'line 3: found "service desk", expected each rule once; the first is service desk',
    ],
    [
      'the same hash for two keys',
      `key k workspace=utility hash=${HASH} # a: b\nkey l workspace=utility hash=${HASH} # a: b`,
      `line 4: found "hash ${HASH}", expected each hash once; the first is key k`,
    ],
    [
      'the same path for two routes',
      'route a path=/x service=desk # a: b\nroute b path=/x service=desk # a: b',
      'line 4: found "path /x", expected each path once; the first is route a',
    ],
    [
      'a route to a service with protocol=engine',
      'service e protocol=engine # a: b\nroute a path=/x service=e # a: b',
      'line 4: found "e", expected a service with protocol=plain',
    ],
  ])('refuses %s', (_, text, error) => {
    expect(formatErrors([...validLines, text].join('\n'))).toEqual([error]);
  });

  it.each([
    '/',
    '/x/',
    '//x',
    '/x/../y',
    '/./x',
    '/.x',
    '/v1',
    '/v1/programs',
    'x',
    '/x?y',
    '/%41',
    `/${'x'.repeat(600)}`,
  ])('refuses the path %s', path => {
    const errors = formatErrors(
      [...validLines, `route a path=${path} service=desk # a: b`].join('\n'),
    );
    expect(errors).toHaveLength(1);
    expect(errors[0]).toContain('a path such as /outages, outside /v1');
  });

  it('reports all errors in the order of lines, up to a maximum number', () => {
    expect(
      formatErrors('service\nkey x # a: b\nbad b # a: b').map(text => text.slice(0, 6)),
    ).toEqual(['line 1', 'line 2', 'line 2', 'line 3']);
    const errors = formatErrors('service\n'.repeat(5_000));
    expect(errors).toHaveLength(101);
    expect(errors.at(-1)).toContain('4900 more errors');
  });

  it('refuses files with too many lines or rules', () => {
    expect(formatErrors('\n'.repeat(200_000))).toHaveLength(1);
    const rules = Array.from({ length: 100_001 }, (_, index) => `service s${index} # a: b`);
    expect(formatErrors(rules.join('\n'))).toEqual([
      'line 100001: found "100001 rules", expected at most 100000 rules',
    ]);
  });
});

describe('docs/RULES.md', () => {
  const page = readFileSync(new URL('../../../docs/RULES.md', import.meta.url), 'utf8');
  const examples = [...page.matchAll(/```rules\n(.*?)```/gs)].map(match => match[1]).join('');

  it('contains examples that are valid together and use every setting of every kind', () => {
    expect(formatErrors(examples)).toEqual([]);
    for (const [kind, grammar] of Object.entries(ruleGrammars)) {
      const lines = examples.split('\n').filter(line => line.startsWith(`${kind} `));
      for (const setting of grammar.settingNames) {
        expect(
          lines.some(line => line.includes(` ${setting}=`)),
          `${kind} ${setting}`,
        ).toBe(true);
      }
    }
  });

  it('lists the settings of each kind in the order of the grammar', () => {
    for (const [kind, grammar] of Object.entries(ruleGrammars)) {
      const section = page.split(`\n## ${kind}\n`)[1]?.split('\n## ')[0] ?? '';
      const listed = [...section.matchAll(/^\| `([a-z]+)`/gm)].map(match => match[1]);
      expect(listed).toEqual(grammar.settingNames);
    }
  });
});

const name = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,12}$/);
const digits = fc.stringMatching(/^\d{1,7}(\.\d{1,4})?$/);
const word = fc.oneof(
  fc.constantFrom('key', 'program', 'route', 'service', 'workspace', '#', 'a: b', '\t', '\r', '='),
  fc.constantFrom('rate=', 'burst=', 'path=/x', 'services=', 'tokens=', 'hash=', 'workspace='),
  name,
  digits,
  fc.string({ unit: 'binary', maxLength: 8 }),
);
const anyText = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 400 }),
  fc
    .array(fc.array(word, { maxLength: 9 }).map(words => words.join(' ')))
    .map(lines => lines.join('\n')),
);
const comment = fc
  .tuple(
    fc.string({ unit: 'grapheme', maxLength: 20 }),
    fc.string({ unit: 'binary', maxLength: 40 }),
  )
  .map(([requester, reason]) => `# r${requester.replaceAll(/[:#]/g, '')}: w${reason}`);
const ruleText = fc
  .tuple(
    fc.oneof(
      fc
        .tuple(name, digits, digits)
        .map(([ruleName, rate, burst]) => `workspace ${ruleName} rate=${rate} burst=${burst}`),
      fc
        .tuple(name, digits)
        .map(([ruleName, timeout]) => `service ${ruleName} timeout=${timeout} idempotent=yes`),
      fc
        .tuple(name, name, fc.nat())
        .map(
          ([ruleName, serviceName, tokens]) =>
            `service ${serviceName} # a: b\nprogram ${ruleName} services=${serviceName} tokens=${tokens} calls=5`,
        ),
    ),
    comment,
  )
  .map(parts => parts.join(' '));

function omitLineNumber(rule: Rule): unknown {
  return { ...rule, line: 0 };
}

describe('any text', () => {
  it('is parsed to rules or printable errors, never to an exception', () => {
    fc.assert(
      fc.property(anyText, text => {
        const parsed = parseRules(text);
        const lines = text.split('\n').length;
        if (parsed.ok) {
          return true;
        }
        return parsed.val.every(
          error =>
            error.line >= 1 &&
            error.line <= lines &&
            error.expected !== '' &&
            !/\p{Cc}/u.test(formatRuleError(error)),
        );
      }),
      { numRuns: 3_000, seed: SEED },
    );
  });

  it('is parsed to the same rules after printing', () => {
    let printedCount = 0;
    fc.assert(
      fc.property(ruleText, text => {
        const parsed = parseRules(text);
        if (parsed.err) {
          return;
        }
        printedCount++;
        const reparsed = parseRules(printRules(parsed.val)).unwrap();
        expect(reparsed.map(omitLineNumber)).toEqual(parsed.val.map(omitLineNumber));
        expect(reparsed.map(printRule)).toEqual(parsed.val.map(printRule));
      }),
      { numRuns: 3_000, seed: SEED },
    );
    expect(printedCount).toBeGreaterThan(500);
  });
});
