import { readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';

import { describeSettings, parseSettings } from '../../src/lifecycle/settings.js';

const valid = {
  callerAddress: '127.0.0.1:4000',
  instance: 'entry-1',
  operatorAddress: '127.0.0.1:4002',
  peerAddress: '127.0.0.1:4001',
  platform: { address: '127.0.0.1:4100' },
  zone: 'nelson',
};

function problemsOf(settings: unknown): readonly string[] {
  const text = typeof settings === 'string' ? settings : JSON.stringify(settings);
  const parsed = parseSettings(text);
  return parsed.ok ? [] : parsed.val.map(({ message, path }) => `${path}: ${message}`);
}

describe('parseSettings', () => {
  it('accepts settings with only the required fields and fills in the defaults', () => {
    expect(parseSettings(JSON.stringify(valid)).unwrap()).toMatchObject({
      ...valid,
      configurationContactMilliseconds: 4_000,
      lease: { termMilliseconds: 5_000 },
      shardCount: 256,
    });
  });

  it.each([
    [{ ...valid, zon: 'trail' }, '$.zon: unknown setting; did you mean "zone"?'],
    [
      { ...valid, lease: { termMiliseconds: 1 } },
      '$.lease.termMiliseconds: unknown setting; did you mean "termMilliseconds"?',
    ],
    [{ ...valid, unheardOf: 1 }, '$.unheardOf: unknown setting'],
    [
      { ...valid, peerAddress: '300.0.0.1:1' },
      '$.peerAddress: expected an IPv4 address and a port, such as 127.0.0.1:4000',
    ],
    [
      { ...valid, peerAddress: '127.0.0.1:70000' },
      '$.peerAddress: expected an IPv4 address and a port, such as 127.0.0.1:4000',
    ],
    [
      { ...valid, peerAddress: 'localhost:80' },
      '$.peerAddress: expected an IPv4 address and a port, such as 127.0.0.1:4000',
    ],
    [{ ...valid, instance: 'a b' }, '$.instance: expected an identifier'],
    [{ ...valid, shardCount: 100 }, '$.shardCount: expected a power of two'],
    [
      { ...valid, peerAddress: valid.callerAddress },
      '$.peerAddress: expected an address other than callerAddress',
    ],
    [
      { ...valid, operatorAddress: valid.peerAddress },
      '$.operatorAddress: expected an address other than callerAddress and peerAddress',
    ],
    [
      { ...valid, configurationPollMilliseconds: 2_000 },
      '$.configurationContactMilliseconds: expected at least 3 times configurationPollMilliseconds',
    ],
    [
      { ...valid, suspectMilliseconds: 900 },
      '$.suspectMilliseconds: expected at least 2 times heartbeatMilliseconds',
    ],
    [
      { ...valid, lease: { termMilliseconds: 1_000 } },
      '$.lease: expected renewMilliseconds + marginMilliseconds below termMilliseconds',
    ],
  ])('refuses %j', (settings, problem) => {
    expect(problemsOf(settings)).toEqual([problem]);
  });

  it.each(['', '{', 'null', '[]', '"text"', '3'])(
    'refuses the text %j with one problem at the root path',
    text => {
      const problems = problemsOf(text);
      expect(problems).toHaveLength(1);
      expect(problems[0]).toMatch(/^\$: /);
    },
  );

  it('reports all problems, including those between fields', () => {
    const settings = {
      ...valid,
      configurationPollMilliseconds: 2_000,
      instance: undefined,
      lease: { termMiliseconds: 1 },
      platform: { address: 4_100 },
      zon: 'trail',
    };
    expect(problemsOf(settings).map(problem => problem.split(':')[0])).toEqual([
      '$.configurationContactMilliseconds',
      '$.instance',
      '$.lease.termMiliseconds',
      '$.platform.address',
      '$.zon',
    ]);
  });
});

describe('docs/operators/settings.md', () => {
  it('lists every setting with its default, and nothing else', () => {
    const file = new URL('../../../../docs/operators/settings.md', import.meta.url);
    const rows = readFileSync(file, 'utf8')
      .split('\n')
      .filter(line => line.startsWith('| `'));
    const tableRows = rows.map(row => row.split('|').map(cell => cell.trim()));
    const expected = describeSettings().map(({ defaultJson, path }) => [
      `\`${path}\``,
      defaultJson === undefined ? 'none' : `\`${defaultJson}\``,
    ]);
    expect(tableRows.map(cells => cells.slice(1, 3))).toEqual(expected);
    expect(tableRows.every(cells => (cells[3] ?? '') !== '')).toBe(true);
  });
});
