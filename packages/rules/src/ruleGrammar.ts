import type { KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { Rule, RuleKind, RuleOf, RuleOrigin } from './rule.js';
import type { SettingReader } from './settingReader.js';

/** One setting as it is written: `name=value`. */
export interface WrittenSetting {
  readonly name: string;
  readonly value: string;
}

/** What a kind of rule accepts, how a rule of it is built and how it is written. */
export interface RuleGrammar<Kind extends RuleKind> {
  /** Every setting that the kind knows, in canonical order. */
  readonly settings: readonly string[];
  /** Names that no rule of the kind may have. */
  readonly reservedNames: readonly string[];
  /** Builds the rule; problems go to the reader. */
  build(name: string, reader: SettingReader, origin: RuleOrigin): RuleOf<Kind>;
  /** The settings of a rule, in canonical order; those equal to the default are left out. */
  write(rule: RuleOf<Kind>): readonly WrittenSetting[];
}

/** The grammar of every kind. */
type RuleGrammars = { readonly [Kind in RuleKind]: RuleGrammar<Kind> };

const SECONDS_A_DAY = 86_400;
const LARGEST_COUNT = 1_000_000_000;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
const PATH_PATTERN = /^(\/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+$/;
const LONGEST_PATH = 512;
/** First segment of the paths that the callers' interface itself uses. */
const RESERVED_PATH_PATTERN = /^\/v1(\/|$)/;

const defaults = {
  access: 'key',
  concurrency: 64,
  fencing: 'ignored',
  idempotent: 'no',
  idleSeconds: 600,
  lifetimeSeconds: SECONDS_A_DAY,
  programs: 10_000,
  protocol: 'plain',
  timeoutSeconds: 60,
  weight: 1,
} as const;

/** The grammar of every kind; docs/RULES.md shows the same table. */
export const ruleGrammars: RuleGrammars = {
  key: {
    settings: ['workspace', 'hash'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      hash: reader.matching(
        'hash',
        text => KEY_HASH_PATTERN.test(text),
        '64 hexadecimal digits in lower case',
      ) as KeyHash,
      kind: 'key',
      name,
      workspace: reader.identifier('workspace') as WorkspaceName,
    }),
    write: rule => [written('workspace', rule.workspace), written('hash', rule.hash)],
  },
  program: {
    settings: ['services', 'tokens', 'calls', 'idle', 'lifetime'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      calls: reader.integer('calls', { maximum: LARGEST_COUNT, minimum: 1 }),
      idleSeconds: reader.integer('idle', {
        fallback: defaults.idleSeconds,
        maximum: SECONDS_A_DAY,
        minimum: 1,
      }),
      kind: 'program',
      lifetimeSeconds: reader.integer('lifetime', {
        fallback: defaults.lifetimeSeconds,
        maximum: 30 * SECONDS_A_DAY,
        minimum: 1,
      }),
      name,
      services: reader.identifiers('services') as readonly ServiceName[],
      tokens: reader.integer('tokens', { maximum: LARGEST_COUNT, minimum: 1 }),
    }),
    write: rule => [
      written('services', rule.services.join(',')),
      written('tokens', rule.tokens),
      written('calls', rule.calls),
      ...writtenUnless('idle', rule.idleSeconds, defaults.idleSeconds),
      ...writtenUnless('lifetime', rule.lifetimeSeconds, defaults.lifetimeSeconds),
    ],
  },
  route: {
    settings: ['path', 'service', 'access'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      access: reader.word('access', ['key', 'open'], defaults.access),
      kind: 'route',
      name,
      path: reader.matching('path', isRoutePath, 'a path such as /outages, outside /v1'),
      service: reader.identifier('service') as ServiceName,
    }),
    write: rule => [
      written('path', rule.path),
      written('service', rule.service),
      ...writtenUnless('access', rule.access, defaults.access),
    ],
  },
  service: {
    settings: ['protocol', 'idempotent', 'fencing', 'timeout', 'concurrency'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      concurrency: reader.integer('concurrency', {
        fallback: defaults.concurrency,
        maximum: 10_000,
        minimum: 1,
      }),
      fencing: reader.word('fencing', ['checked', 'ignored'], defaults.fencing),
      idempotent: reader.word('idempotent', ['yes', 'no'], defaults.idempotent) === 'yes',
      kind: 'service',
      name: name as ServiceName,
      protocol: reader.word('protocol', ['engine', 'plain'], defaults.protocol),
      timeoutSeconds: reader.decimal('timeout', {
        fallback: defaults.timeoutSeconds,
        maximum: SECONDS_A_DAY,
        minimum: 1,
      }),
    }),
    write: rule => [
      ...writtenUnless('protocol', rule.protocol, defaults.protocol),
      ...writtenUnless('idempotent', rule.idempotent ? 'yes' : 'no', defaults.idempotent),
      ...writtenUnless('fencing', rule.fencing, defaults.fencing),
      ...writtenUnless('timeout', rule.timeoutSeconds, defaults.timeoutSeconds),
      ...writtenUnless('concurrency', rule.concurrency, defaults.concurrency),
    ],
  },
  workspace: {
    settings: ['rate', 'burst', 'weight', 'programs'],
    // Requests on open routes are counted under this name.
    reservedNames: ['open'],
    build: (name, reader, origin) => ({
      ...origin,
      burst: reader.integer('burst', { maximum: LARGEST_COUNT, minimum: 1 }),
      kind: 'workspace',
      name: name as WorkspaceName,
      programs: reader.integer('programs', {
        fallback: defaults.programs,
        maximum: LARGEST_COUNT,
        minimum: 1,
      }),
      rate: reader.decimal('rate', { maximum: LARGEST_COUNT, minimum: 0.001 }),
      weight: reader.decimal('weight', {
        fallback: defaults.weight,
        maximum: 1_000,
        minimum: 0.01,
      }),
    }),
    write: rule => [
      written('rate', rule.rate),
      written('burst', rule.burst),
      ...writtenUnless('weight', rule.weight, defaults.weight),
      ...writtenUnless('programs', rule.programs, defaults.programs),
    ],
  },
};

/** Every kind of rule, in the order of docs/RULES.md. */
export const ruleKinds = Object.keys(ruleGrammars) as readonly RuleKind[];

/** Builds a rule of any kind. */
export function buildRule(
  kind: RuleKind,
  name: string,
  reader: SettingReader,
  origin: RuleOrigin,
): Rule {
  return ruleGrammars[kind].build(name, reader, origin);
}

/** The settings of a rule of any kind, in canonical order. */
export function writeSettings(rule: Rule): readonly WrittenSetting[] {
  switch (rule.kind) {
    case 'key':
      return ruleGrammars.key.write(rule);
    case 'program':
      return ruleGrammars.program.write(rule);
    case 'route':
      return ruleGrammars.route.write(rule);
    case 'service':
      return ruleGrammars.service.write(rule);
    case 'workspace':
      return ruleGrammars.workspace.write(rule);
  }
}

function isRoutePath(text: string): boolean {
  return (
    text.length <= LONGEST_PATH && PATH_PATTERN.test(text) && !RESERVED_PATH_PATTERN.test(text)
  );
}

function written(name: string, value: number | string): WrittenSetting {
  return { name, value: String(value) };
}

function writtenUnless(
  name: string,
  value: number | string,
  fallback: number | string,
): readonly WrittenSetting[] {
  return value === fallback ? [] : [written(name, value)];
}
