import type { KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { Rule, RuleKind, RuleOf, RuleOrigin } from './rule.js';
import type { SettingReader } from './settingReader.js';

/** Setting of a rule line, printed as `name=value`. */
export interface SerializedSetting {
  readonly name: string;
  readonly value: string;
}

/** Grammar of one kind of rule: its settings, and how its rules are built and serialized. */
export interface RuleGrammar<Kind extends RuleKind> {
  /** Names of all settings of the kind, in canonical order. */
  readonly settingNames: readonly string[];
  /** Names that rules of the kind must not have. */
  readonly reservedNames: readonly string[];
  /** Builds a rule from its settings; errors are collected by the reader. */
  build(name: string, reader: SettingReader, origin: RuleOrigin): RuleOf<Kind>;
  /** Serializes the settings of a rule in canonical order, omitting those equal to the default. */
  serialize(rule: RuleOf<Kind>): readonly SerializedSetting[];
}

/** Grammars by kind of rule. */
type RuleGrammars = { readonly [Kind in RuleKind]: RuleGrammar<Kind> };

const SECONDS_PER_DAY = 86_400;
const MAXIMUM_COUNT = 1_000_000_000;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
const PATH_PATTERN = /^(\/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+$/;
const MAXIMUM_PATH_LENGTH = 512;
/** Matches `/v1` and the paths below it, which are reserved for the callers' API. */
const RESERVED_PATH_PATTERN = /^\/v1(\/|$)/;

const defaults = {
  access: 'key',
  concurrency: 64,
  fencing: 'ignored',
  idempotent: 'no',
  idleSeconds: 600,
  lifetimeSeconds: SECONDS_PER_DAY,
  programs: 10_000,
  protocol: 'plain',
  timeoutSeconds: 60,
  weight: 1,
} as const;

/** Grammars of all kinds of rule; docs/RULES.md contains the same tables. */
export const ruleGrammars: RuleGrammars = {
  key: {
    settingNames: ['workspace', 'hash'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      hash: reader.readMatching(
        'hash',
        text => KEY_HASH_PATTERN.test(text),
        '64 hexadecimal digits in lower case',
      ) as KeyHash,
      kind: 'key',
      name,
      workspace: reader.readIdentifier('workspace') as WorkspaceName,
    }),
    serialize: rule => [
      serializeSetting('workspace', rule.workspace),
      serializeSetting('hash', rule.hash),
    ],
  },
  program: {
    settingNames: ['services', 'tokens', 'calls', 'idle', 'lifetime'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      calls: reader.readInteger('calls', { maximum: MAXIMUM_COUNT, minimum: 1 }),
      idleSeconds: reader.readInteger('idle', {
        defaultValue: defaults.idleSeconds,
        maximum: SECONDS_PER_DAY,
        minimum: 1,
      }),
      kind: 'program',
      lifetimeSeconds: reader.readInteger('lifetime', {
        defaultValue: defaults.lifetimeSeconds,
        maximum: 30 * SECONDS_PER_DAY,
        minimum: 1,
      }),
      name,
      services: reader.readIdentifiers('services') as readonly ServiceName[],
      tokens: reader.readInteger('tokens', { maximum: MAXIMUM_COUNT, minimum: 1 }),
    }),
    serialize: rule => [
      serializeSetting('services', rule.services.join(',')),
      serializeSetting('tokens', rule.tokens),
      serializeSetting('calls', rule.calls),
      ...serializeUnlessDefault('idle', rule.idleSeconds, defaults.idleSeconds),
      ...serializeUnlessDefault('lifetime', rule.lifetimeSeconds, defaults.lifetimeSeconds),
    ],
  },
  route: {
    settingNames: ['path', 'service', 'access'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      access: reader.readWord('access', ['key', 'open'], defaults.access),
      kind: 'route',
      name,
      path: reader.readMatching('path', isRoutePath, 'a path such as /outages, outside /v1'),
      service: reader.readIdentifier('service') as ServiceName,
    }),
    serialize: rule => [
      serializeSetting('path', rule.path),
      serializeSetting('service', rule.service),
      ...serializeUnlessDefault('access', rule.access, defaults.access),
    ],
  },
  service: {
    settingNames: ['protocol', 'idempotent', 'fencing', 'timeout', 'concurrency'],
    reservedNames: [],
    build: (name, reader, origin) => ({
      ...origin,
      concurrency: reader.readInteger('concurrency', {
        defaultValue: defaults.concurrency,
        maximum: 10_000,
        minimum: 1,
      }),
      fencing: reader.readWord('fencing', ['checked', 'ignored'], defaults.fencing),
      idempotent: reader.readWord('idempotent', ['yes', 'no'], defaults.idempotent) === 'yes',
      kind: 'service',
      name: name as ServiceName,
      protocol: reader.readWord('protocol', ['engine', 'plain'], defaults.protocol),
      timeoutSeconds: reader.readDecimal('timeout', {
        defaultValue: defaults.timeoutSeconds,
        maximum: SECONDS_PER_DAY,
        minimum: 1,
      }),
    }),
    serialize: rule => [
      ...serializeUnlessDefault('protocol', rule.protocol, defaults.protocol),
      ...serializeUnlessDefault('idempotent', rule.idempotent ? 'yes' : 'no', defaults.idempotent),
      ...serializeUnlessDefault('fencing', rule.fencing, defaults.fencing),
      ...serializeUnlessDefault('timeout', rule.timeoutSeconds, defaults.timeoutSeconds),
      ...serializeUnlessDefault('concurrency', rule.concurrency, defaults.concurrency),
    ],
  },
  workspace: {
    settingNames: ['rate', 'burst', 'weight', 'programs'],
    // Requests on routes with access=open are counted under the workspace name `open`.
    reservedNames: ['open'],
    build: (name, reader, origin) => ({
      ...origin,
      burst: reader.readInteger('burst', { maximum: MAXIMUM_COUNT, minimum: 1 }),
      kind: 'workspace',
      name: name as WorkspaceName,
      programs: reader.readInteger('programs', {
        defaultValue: defaults.programs,
        maximum: MAXIMUM_COUNT,
        minimum: 1,
      }),
      rate: reader.readDecimal('rate', { maximum: MAXIMUM_COUNT, minimum: 0.001 }),
      weight: reader.readDecimal('weight', {
        defaultValue: defaults.weight,
        maximum: 1_000,
        minimum: 0.01,
      }),
    }),
    serialize: rule => [
      serializeSetting('rate', rule.rate),
      serializeSetting('burst', rule.burst),
      ...serializeUnlessDefault('weight', rule.weight, defaults.weight),
      ...serializeUnlessDefault('programs', rule.programs, defaults.programs),
    ],
  },
};

/** All kinds of rule, in the order of docs/RULES.md. */
export const ruleKinds = Object.keys(ruleGrammars) as readonly RuleKind[];

/** Builds a rule of any kind; errors are collected by the reader. */
export function buildRule(
  kind: RuleKind,
  name: string,
  reader: SettingReader,
  origin: RuleOrigin,
): Rule {
  return ruleGrammars[kind].build(name, reader, origin);
}

/** Serializes the settings of a rule of any kind in canonical order. */
export function serializeSettings(rule: Rule): readonly SerializedSetting[] {
  switch (rule.kind) {
    case 'key':
      return ruleGrammars.key.serialize(rule);
    case 'program':
      return ruleGrammars.program.serialize(rule);
    case 'route':
      return ruleGrammars.route.serialize(rule);
    case 'service':
      return ruleGrammars.service.serialize(rule);
    case 'workspace':
      return ruleGrammars.workspace.serialize(rule);
  }
}

function isRoutePath(text: string): boolean {
  return (
    text.length <= MAXIMUM_PATH_LENGTH &&
    PATH_PATTERN.test(text) &&
    !RESERVED_PATH_PATTERN.test(text)
  );
}

function serializeSetting(name: string, value: number | string): SerializedSetting {
  return { name, value: String(value) };
}

function serializeUnlessDefault(
  name: string,
  value: number | string,
  defaultValue: number | string,
): readonly SerializedSetting[] {
  return value === defaultValue ? [] : [serializeSetting(name, value)];
}
