import type { ConfigurationVersion } from '@zincring/core';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { parseRules } from '../src/parseRules.js';
import { differenceOf, ruleLines } from '../src/ruleLines.js';
import { RuleSet } from '../src/ruleSet.js';

const SEED = 4_711;
const VERSION = 1 as ConfigurationVersion;
const hash = (digit: number): string => String(digit).repeat(64);

const candidates = [
  ...[1, 2].flatMap(rate => ['a', 'b'].map(w => `workspace ${w} rate=${rate} burst=1 # q: r`)),
  'service s # q: r',
  'service s protocol=engine # q: r',
  'service t # q: r',
  'program p services=s tokens=1 calls=1 # q: r',
  'program p services=s,t tokens=1 calls=1 # q: r',
  'route x path=/x service=s # q: r',
  'route y path=/x service=t # q: r',
  ...[1, 2].flatMap(digit =>
    ['k', 'l'].map(key => `key ${key} workspace=a hash=${hash(digit)} # q: r`),
  ),
];

describe('RuleSet', () => {
  it('accepts exactly the differences whose result parses as a whole', () => {
    const steps = fc.array(fc.subarray(candidates), { maxLength: 12 });
    fc.assert(
      fc.property(steps, wantedSets => {
        const rules = new RuleSet();
        let lines: readonly string[] = [];
        for (const wanted of wantedSets) {
          const applied = rules.apply(differenceOf(lines, wanted));
          const whole = parseRules(wanted.join('\n'));
          expect(applied.ok).toBe(whole.ok);
          lines = applied.ok ? wanted : lines;
          expect([...rules.lines].sort()).toEqual([...lines].sort());
          const expected = new RuleSet();
          expected.apply({ added: lines, removed: [] }).unwrap();
          const inForce = rules.configuration(VERSION);
          const fresh = expected.configuration(VERSION);
          for (const kind of ['keys', 'programs', 'services', 'workspaces'] as const) {
            expect([...inForce[kind].keys()].sort()).toEqual([...fresh[kind].keys()].sort());
          }
          expect(inForce.routes.map(route => route.name)).toEqual(
            fresh.routes.map(route => route.name),
          );
        }
      }),
      { numRuns: 600, seed: SEED },
    );
  });

  it('refuses lines that are not in force, or are already', () => {
    const rules = new RuleSet();
    rules.apply({ added: ['service s # q: r'], removed: [] }).unwrap();
    expect(rules.apply({ added: [], removed: ['service t # q: r'] }).err).toBe(true);
    expect(rules.apply({ added: ['service s # q: r'], removed: [] }).err).toBe(true);
  });

  it('leaves configurations that were given out as they were', () => {
    const rules = new RuleSet();
    rules.apply({ added: ['service s # q: r'], removed: [] }).unwrap();
    const before = rules.configuration(VERSION);
    rules.apply({ added: ['service t # q: r'], removed: ['service s # q: r'] }).unwrap();
    expect([...before.services.keys()]).toEqual(['s']);
    expect([...rules.configuration(VERSION).services.keys()]).toEqual(['t']);
  });
});

describe('ruleLines', () => {
  it('gives one canonical line for texts that mean the same', () => {
    const texts = [
      'workspace  a burst=1 rate=1.0 # b:  c',
      'workspace a rate=1 burst=1 weight=1 programs=10000 #b: c\r\n',
      '# head\nworkspace\ta\trate=01 burst=1 # b: c',
    ];
    expect(texts.map(text => ruleLines(text).unwrap())).toEqual(
      texts.map(() => ['workspace a rate=1 burst=1 # b: c']),
    );
  });
});
