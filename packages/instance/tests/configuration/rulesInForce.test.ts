import type { Change } from '@zincring/coordination';

import { describe, expect, it } from 'vitest';

import { RulesInForce } from '../../src/configuration/rulesInForce.js';

const workspace = 'workspace w rate=1 burst=1 # a: b';
const newer = 'service s colour=blue # a: b';
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
  rules.take({ changes, newest: 1, snapshot: undefined });
  return rules;
}

function take(rules: RulesInForce, ...changes: readonly Change[]): readonly string[] {
  const newest = changes.at(-1)?.version ?? 0;
  const difference = rules.take({ changes, newest, snapshot: undefined });
  return difference?.withdrawnKeys.map(hash => hash.slice(0, 1)) ?? [];
}

describe('RulesInForce', () => {
  it('takes up changes and tells which keys they withdraw', () => {
    const rules = setUp();
    expect(take(rules, change(2, [], [keyLine(1)]), change(3, [keyLine(3)]))).toEqual(['1']);
    expect(rules.version).toBe(3);
  });

  it('does not call a key withdrawn whose rule only changes', () => {
    const rules = setUp();
    const renamed = keyLine(1).replace('k1', 'clerk');
    expect(take(rules, change(2, [renamed], [keyLine(1)]))).toEqual([]);
    expect(rules.version).toBe(2);
  });

  it('leaves old changes and changes after a gap alone', () => {
    const rules = setUp();
    take(rules, change(1, ['service old # a: b']));
    take(rules, change(3, ['service late # a: b']));
    expect(rules.version).toBe(1);
    expect(rules.configuration?.services.size).toBe(0);
  });

  it('stays at the last good version before one that it cannot parse, and says why', () => {
    const rules = setUp();
    take(
      rules,
      change(2, ['service t # a: b']),
      change(3, [newer]),
      change(4, ['service u # a: b']),
    );
    expect(rules.version).toBe(2);
    expect(rules.judgedVersion).toBe(4);
    expect(rules.blocked?.version).toBe(3);
    expect(rules.blocked?.reason).toContain('colour=blue');
  });

  it('withdraws keys also in versions that it cannot take up', () => {
    const rules = setUp();
    expect(take(rules, change(2, [newer]), change(3, [], [keyLine(1)]))).toEqual(['1']);
    const kept = keyLine(2).replace(' #', ' colour=blue #');
    const more = [change(2, [newer]), change(3, [], [keyLine(1)]), change(4, [kept], [keyLine(2)])];
    expect(take(rules, ...more)).toEqual([]);
    expect(rules.version).toBe(1);
    expect(rules.configuration?.keys.size).toBe(1);
  });

  it('goes on once a further change mends the one that it cannot parse', () => {
    const rules = setUp();
    const broken = [change(2, [newer]), change(3, [], [keyLine(1)])];
    take(rules, ...broken);
    take(rules, ...broken, change(4, ['service s # a: b'], [newer]));
    expect([rules.version, rules.blocked]).toEqual([4, undefined]);
    expect([...(rules.configuration?.keys.keys() ?? [])]).toEqual(['2'.repeat(64)]);
  });

  it('jumps to a whole version, never back to an older one', () => {
    const rules = setUp();
    const snapshot = { lines: [workspace, keyLine(2)], version: 9 };
    const difference = rules.take({ changes: [], newest: 9, snapshot });
    expect(difference?.withdrawnKeys).toEqual(['1'.repeat(64)]);
    rules.take({ changes: [], newest: 9, snapshot: { lines: [], version: 5 } });
    expect([rules.version, rules.configuration?.keys.size]).toEqual([9, 1]);
  });

  it('gives a peer the changes it lacks, or the whole where they are not kept', () => {
    const rules = setUp();
    take(rules, change(2, ['service t # a: b']), change(3, ['service u # a: b']));
    expect(rules.updateAfter(2, 3).changes.map(({ version }) => version)).toEqual([3]);
    expect(rules.updateAfter(3, 3)).toEqual({ changes: [], newest: 3, snapshot: undefined });
    rules.take({ changes: [], newest: 9, snapshot: { lines: [workspace], version: 9 } });
    expect(rules.updateAfter(3, 9).snapshot).toEqual({ lines: [workspace], version: 9 });
  });
});
