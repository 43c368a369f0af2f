import type { ConfigurationVersion, KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { KeyRule, ProgramRule, RouteRule, Rule, ServiceRule, WorkspaceRule } from './rule.js';

import { ConfigurationBuilder } from './configurationBuilder.js';

/** Immutable version of the rules, indexed for lookup. */
export interface Configuration {
  readonly version: ConfigurationVersion;
  readonly workspaces: ReadonlyMap<WorkspaceName, WorkspaceRule>;
  readonly keys: ReadonlyMap<KeyHash, KeyRule>;
  readonly programs: ReadonlyMap<string, ProgramRule>;
  readonly services: ReadonlyMap<ServiceName, ServiceRule>;
  /** Routes in order of decreasing path length. */
  readonly routes: readonly RouteRule[];
}

/**
 * Indexes the rules of one version.
 *
 * @example
 * const configuration = createConfiguration(version, rules);
 * configuration.keys.get(hashKey(token))?.workspace;
 */
export function createConfiguration(
  version: ConfigurationVersion,
  rules: readonly Rule[],
): Configuration {
  const builder = new ConfigurationBuilder();
  for (const rule of rules) {
    builder.insert(rule);
  }
  return builder.build(version);
}
