import type { KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { Rule, RuleKind, RuleOrigin } from './rule.js';
import type { SettingReader } from './settingReader.js';

/** What a kind of rule accepts and how a rule of it is built. */
export interface RuleGrammar {
  /** Every setting that the kind knows. */
  readonly settings: readonly string[];
  /** Builds the rule; problems go to the reader. */
  build(name: string, reader: SettingReader, origin: RuleOrigin): Rule;
}

const SECONDS_A_DAY = 86_400;
const LARGEST_COUNT = 1_000_000_000;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
const PATH_PATTERN = /^\/[A-Za-z0-9._~/-]*$/;

/** The grammar of every kind; docs/RULES.md shows the same table. */
export const ruleGrammars: Readonly<Record<RuleKind, RuleGrammar>> = {
  key: {
    settings: ['workspace', 'hash'],
    build: (name, reader, origin) => ({
      ...origin,
      hash: reader.matching(
        'hash',
        text => KEY_HASH_PATTERN.test(text),
        '64 hexadecimal digits',
      ) as KeyHash,
      kind: 'key',
      name,
      workspace: reader.identifier('workspace') as WorkspaceName,
    }),
  },
  program: {
    settings: ['services', 'tokens', 'calls', 'idle', 'lifetime'],
    build: (name, reader, origin) => ({
      ...origin,
      calls: reader.number('calls', 1, LARGEST_COUNT),
      idleSeconds: reader.number('idle', 1, SECONDS_A_DAY, 600),
      kind: 'program',
      lifetimeSeconds: reader.number('lifetime', 1, 30 * SECONDS_A_DAY, SECONDS_A_DAY),
      name,
      services: reader.identifiers('services') as readonly ServiceName[],
      tokens: reader.number('tokens', 1, LARGEST_COUNT),
    }),
  },
  route: {
    settings: ['path', 'service', 'access'],
    build: (name, reader, origin) => ({
      ...origin,
      access: reader.word('access', ['key', 'open'], 'key'),
      kind: 'route',
      name,
      path: reader.matching('path', text => PATH_PATTERN.test(text), 'a path such as /outages'),
      service: reader.identifier('service') as ServiceName,
    }),
  },
  service: {
    settings: ['protocol', 'idempotent', 'fencing', 'timeout', 'concurrency'],
    build: (name, reader, origin) => ({
      ...origin,
      concurrency: reader.number('concurrency', 1, 10_000, 64),
      fencing: reader.word('fencing', ['checked', 'ignored'], 'ignored'),
      idempotent: reader.word('idempotent', ['yes', 'no'], 'no') === 'yes',
      kind: 'service',
      name: name as ServiceName,
      protocol: reader.word('protocol', ['engine', 'plain'], 'plain'),
      timeoutSeconds: reader.number('timeout', 1, SECONDS_A_DAY, 60),
    }),
  },
  workspace: {
    settings: ['rate', 'burst', 'weight', 'programs'],
    build: (name, reader, origin) => ({
      ...origin,
      burst: reader.number('burst', 1, LARGEST_COUNT),
      kind: 'workspace',
      name: name as WorkspaceName,
      programs: reader.number('programs', 1, LARGEST_COUNT, 10_000),
      rate: reader.number('rate', 0.001, LARGEST_COUNT),
      weight: reader.number('weight', 0.01, 1_000, 1),
    }),
  },
};

/** Every kind of rule, in the order of docs/RULES.md. */
export const ruleKinds = Object.keys(ruleGrammars) as readonly RuleKind[];
