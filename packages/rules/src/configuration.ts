import type { ConfigurationVersion, KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { KeyRule, ProgramRule, RouteRule, Rule, ServiceRule, WorkspaceRule } from './rule.js';

/** One version of the rules, indexed for look-ups. */
export interface Configuration {
  readonly version: ConfigurationVersion;
  readonly rules: readonly Rule[];
  readonly workspaces: ReadonlyMap<WorkspaceName, WorkspaceRule>;
  readonly keys: ReadonlyMap<KeyHash, KeyRule>;
  readonly programs: ReadonlyMap<string, ProgramRule>;
  readonly services: ReadonlyMap<ServiceName, ServiceRule>;
  /** Longest path first. */
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
  const workspaces = new Map<WorkspaceName, WorkspaceRule>();
  const keys = new Map<KeyHash, KeyRule>();
  const programs = new Map<string, ProgramRule>();
  const services = new Map<ServiceName, ServiceRule>();
  const routes: RouteRule[] = [];
  for (const rule of rules) {
    switch (rule.kind) {
      case 'key':
        keys.set(rule.hash, rule);
        break;
      case 'program':
        programs.set(rule.name, rule);
        break;
      case 'route':
        routes.push(rule);
        break;
      case 'service':
        services.set(rule.name, rule);
        break;
      case 'workspace':
        workspaces.set(rule.name, rule);
        break;
    }
  }
  routes.sort((left, right) => right.path.length - left.path.length);
  return { keys, programs, routes, rules, services, version, workspaces };
}
