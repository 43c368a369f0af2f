import type { ConfigurationVersion } from '@zincring/core';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { parseRules } from '../src/parseRules.js';
import { diffRuleLines, parseCanonicalLines } from '../src/ruleLines.js';
import { RuleSet } from '../src/ruleSet.js';

const SEED = 4_711;
const VERSION = 1 as ConfigurationVersion;
const hashOfDigit = (digit: number): string => String(digit).repeat(64);

const candidateLines = [
  ...[1, 2].flatMap(rate =>
    ['a', 'b'].map(workspace => `workspace ${workspace} rate=${rate} burst=1 # q: r`),
  ),
  'service s # q: r',
  'service s protocol=engine # q: r',
  'service t # q: r',
  'program p services=s tokens=1 calls=1 # q: r',
  'program p services=s,t tokens=1 calls=1 # q: r',
  'route x path=/x service=s # q: r',
  'route y path=/x service=t # q: r',
  ...[1, 2].flatMap(digit =>
    ['k', 'l'].map(key => `key ${key} workspace=a hash=${hashOfDigit(digit)} # q: r`),
  ),
];

describe('RuleSet', () => {
  it('accepts a difference exactly if the resulting rule file is valid', () => {
    const desiredLineSets = fc.array(fc.subarray(candidateLines), { maxLength: 12 });
    fc.assert(
      fc.property(desiredLineSets, lineSets => {
        const rules = new RuleSet();
        let lines: readonly string[] = [];
        for (const desiredLines of lineSets) {
          const applied = rules.apply(diffRuleLines(lines, desiredLines));
          const parsed = parseRules(desiredLines.join('\n'));
          expect(applied.ok).toBe(parsed.ok);
          lines = applied.ok ? desiredLines : lines;
          expect([...rules.lines].sort()).toEqual([...lines].sort());
          const rebuiltRules = new RuleSet();
          rebuiltRules.apply({ added: lines, removed: [] }).unwrap();
          const incremental = rules.buildConfiguration(VERSION);
          const rebuilt = rebuiltRules.buildConfiguration(VERSION);
          for (const kind of ['keys', 'programs', 'services', 'workspaces'] as const) {
            expect([...incremental[kind].keys()].sort()).toEqual([...rebuilt[kind].keys()].sort());
          }
          expect(incremental.routes.map(route => route.name)).toEqual(
            rebuilt.routes.map(route => route.name),
          );
        }
      }),
      { numRuns: 600, seed: SEED },
    );
  });

  it('refuses to remove an absent line or to add an existing one', () => {
    const rules = new RuleSet();
    rules.apply({ added: ['service s # q: r'], removed: [] }).unwrap();
    expect(rules.apply({ added: [], removed: ['service t # q: r'] }).err).toBe(true);
    expect(rules.apply({ added: ['service s # q: r'], removed: [] }).err).toBe(true);
  });

  it('does not change configurations that it returned before', () => {
    const rules = new RuleSet();
    rules.apply({ added: ['service s # q: r'], removed: [] }).unwrap();
    const before = rules.buildConfiguration(VERSION);
    rules.apply({ added: ['service t # q: r'], removed: ['service s # q: r'] }).unwrap();
    expect([...before.services.keys()]).toEqual(['s']);
    expect([...rules.buildConfiguration(VERSION).services.keys()]).toEqual(['t']);
  });
});

describe('parseCanonicalLines', () => {
  it('returns the same canonical line for equivalent texts', () => {
    const texts = [
      'workspace  a burst=1 rate=1.0 # b:  c',
      'workspace a rate=1 burst=1 weight=1 programs=10000 #b: c\r\n',
      '# head\nworkspace\ta\trate=01 burst=1 # b: c',
    ];
    expect(texts.map(text => parseCanonicalLines(text).unwrap())).toEqual(
      texts.map(() => ['workspace a rate=1 burst=1 # b: c']),
    );
  });
});
