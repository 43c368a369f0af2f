import type { ConfigurationVersion } from '@zincring/core';

import { hashKey } from '@zincring/core';
import { createConfiguration, parseRules } from '@zincring/rules';
import { describe, expect, it } from 'vitest';

import { authenticate } from '../../src/callers/authentication.js';

const workspace = 'workspace utility rate=100 burst=100 # dana: the pilot';
const emptyKey = `key clerk workspace=utility hash=${hashKey('')} # dana: clerks`;

/** Guards against rules without keys, or with the hash of an empty one, that admit callers without a key. */
describe('callers of an instance', () => {
  it.each([
    ['without any rule', ''],
    ['whose workspace has no key', workspace],
    ['with the hash of an empty key', `${workspace}\n${emptyKey}`],
  ])('are not admitted by rules %s', (_name, rules) => {
    const configuration = createConfiguration(
      1 as ConfigurationVersion,
      parseRules(rules).unwrap(),
    );
    for (const authorization of [undefined, '', 'Bearer', 'Bearer ', 'Bearer  ', 'Bearer k1']) {
      expect(authenticate(configuration, authorization).err).toBe(true);
    }
  });
});

/** Guards against rules that open or unbind something because a setting is missing or odd. */
describe('rules of an instance', () => {
  const service = 'service desk protocol=plain # omar: work orders';
  const route = 'route status path=/status service=desk';

  it('need a key on a route that does not say', () => {
    const [, rule] = parseRules(`${service}\n${route} # omar: outages`).unwrap();
    expect(rule).toMatchObject({ access: 'key', kind: 'route' });
  });

  it.each([
    `${route} access= # omar: outages`,
    `${route} access=none # omar: outages`,
    `${route} access=key access=open # omar: outages`,
    'program reports services=desk calls=5 # omar: reports',
    'program reports services=desk tokens= calls=5 # omar: reports',
    'program reports services=desk tokens=0 calls=5 # omar: reports',
    'program reports services= tokens=1 calls=5 # omar: reports',
  ])('are refused: %s', line => {
    expect(parseRules(`${service}\n${line}`).err).toBe(true);
  });
});
