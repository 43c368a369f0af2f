import type { Change } from '@zincring/coordination';

import { describe, expect, it } from 'vitest';

import { RulesInForce } from '../../src/configuration/rulesInForce.js';

const workspace = 'workspace w rate=1 burst=1 # a: b';
const unsupportedLine = 'service s colour=blue # a: b';
const keyLine = (digit: number): string =>
  `key k${digit} workspace=w hash=${String(digit).repeat(64)} # a: b`;

function change(
  version: number,
  added: readonly string[],
  removed: readonly string[] = [],
): Change {
  const origin = { at: 1, changeId: `id-${version}`, reason: 'why', requester: 'who' };
  return { ...origin, added, removed, version };
}

function setUp(): RulesInForce {
  const rules = new RulesInForce();
  const changes = [change(1, [workspace, keyLine(1), keyLine(2)])];
  rules.applyUpdate({ changes, newest: 1, snapshot: undefined });
  return rules;
}

function applyChanges(rules: RulesInForce, ...changes: readonly Change[]): readonly string[] {
  const newest = changes.at(-1)?.version ?? 0;
  const difference = rules.applyUpdate({ changes, newest, snapshot: undefined });
  return difference?.withdrawnKeys.map(hash => hash.slice(0, 1)) ?? [];
}

describe('RulesInForce', () => {
  it('applies changes and returns the keys that they withdraw', () => {
    const rules = setUp();
    expect(applyChanges(rules, change(2, [], [keyLine(1)]), change(3, [keyLine(3)]))).toEqual([
      '1',
    ]);
    expect(rules.version).toBe(3);
  });

  it('does not report a key as withdrawn when only its rule changes', () => {
    const rules = setUp();
    const renamed = keyLine(1).replace('k1', 'clerk');
    expect(applyChanges(rules, change(2, [renamed], [keyLine(1)]))).toEqual([]);
    expect(rules.version).toBe(2);
  });

  it('ignores old changes and changes after a gap', () => {
    const rules = setUp();
    applyChanges(rules, change(1, ['service old # a: b']));
    applyChanges(rules, change(3, ['service late # a: b']));
    expect(rules.version).toBe(1);
    expect(rules.configuration?.services.size).toBe(0);
  });

  it('keeps the last valid version in force before one that it cannot parse, and gives the reason', () => {
    const rules = setUp();
    applyChanges(
      rules,
      change(2, ['service t # a: b']),
      change(3, [unsupportedLine]),
      change(4, ['service u # a: b']),
    );
    expect(rules.version).toBe(2);
    expect(rules.evaluatedVersion).toBe(4);
    expect(rules.blocked?.version).toBe(3);
    expect(rules.blocked?.reason).toContain('colour=blue');
  });

  it('withdraws keys also by versions that it cannot apply', () => {
    const rules = setUp();
    expect(applyChanges(rules, change(2, [unsupportedLine]), change(3, [], [keyLine(1)]))).toEqual([
      '1',
    ]);
    const retained = keyLine(2).replace(' #', ' colour=blue #');
    const withKeyRetained = [
      change(2, [unsupportedLine]),
      change(3, [], [keyLine(1)]),
      change(4, [retained], [keyLine(2)]),
    ];
    expect(applyChanges(rules, ...withKeyRetained)).toEqual([]);
    expect(rules.version).toBe(1);
    expect(rules.configuration?.keys.size).toBe(1);
  });

  it('continues once a further change corrects the one that it cannot parse', () => {
    const rules = setUp();
    const broken = [change(2, [unsupportedLine]), change(3, [], [keyLine(1)])];
    applyChanges(rules, ...broken);
    applyChanges(rules, ...broken, change(4, ['service s # a: b'], [unsupportedLine]));
    expect([rules.version, rules.blocked]).toEqual([4, undefined]);
    expect([...(rules.configuration?.keys.keys() ?? [])]).toEqual(['2'.repeat(64)]);
  });

  it('applies a snapshot of a newer version, but never of an older one', () => {
    const rules = setUp();
    const snapshot = { lines: [workspace, keyLine(2)], version: 9 };
    const difference = rules.applyUpdate({ changes: [], newest: 9, snapshot });
    expect(difference?.withdrawnKeys).toEqual(['1'.repeat(64)]);
    rules.applyUpdate({ changes: [], newest: 9, snapshot: { lines: [], version: 5 } });
    expect([rules.version, rules.configuration?.keys.size]).toEqual([9, 1]);
  });

  it('returns the changes that a peer lacks, or a snapshot when they are not kept', () => {
    const rules = setUp();
    applyChanges(rules, change(2, ['service t # a: b']), change(3, ['service u # a: b']));
    expect(rules.getUpdateAfter(2, 3).changes.map(({ version }) => version)).toEqual([3]);
    expect(rules.getUpdateAfter(3, 3)).toEqual({ changes: [], newest: 3, snapshot: undefined });
    rules.applyUpdate({ changes: [], newest: 9, snapshot: { lines: [workspace], version: 9 } });
    expect(rules.getUpdateAfter(3, 9).snapshot).toEqual({ lines: [workspace], version: 9 });
  });
});
