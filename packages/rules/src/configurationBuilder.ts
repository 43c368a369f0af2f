import type { ConfigurationVersion, KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { Configuration } from './configuration.js';
import type { KeyRule, ProgramRule, RouteRule, Rule, ServiceRule, WorkspaceRule } from './rule.js';

/** Map with immutable snapshots; a new copy is made only after a change. */
class SnapshotMap<Key, Value> {
  public readonly entries = new Map<Key, Value>();
  private cachedSnapshot: ReadonlyMap<Key, Value> | undefined;

  public set(key: Key, value: Value): void {
    this.entries.set(key, value);
    this.cachedSnapshot = undefined;
  }

  public delete(key: Key): void {
    this.entries.delete(key);
    this.cachedSnapshot = undefined;
  }

  /** Returns an immutable copy of the current entries. */
  public snapshot(): ReadonlyMap<Key, Value> {
    this.cachedSnapshot ??= new Map(this.entries);
    return this.cachedSnapshot;
  }
}

/** Builds configurations from rules that are added and removed one at a time. */
export class ConfigurationBuilder {
  private readonly keys = new SnapshotMap<KeyHash, KeyRule>();
  private readonly programs = new SnapshotMap<string, ProgramRule>();
  private readonly routes = new SnapshotMap<string, RouteRule>();
  private readonly services = new SnapshotMap<ServiceName, ServiceRule>();
  private readonly workspaces = new SnapshotMap<WorkspaceName, WorkspaceRule>();

  /** Lists the names of the rules of a kind to which other rules can refer. */
  public listNames(kind: 'service' | 'workspace'): readonly string[] {
    const { entries } = kind === 'service' ? this.services : this.workspaces;
    return [...entries.keys()];
  }

  /** Adds a rule. */
  public insert(rule: Rule): void {
    switch (rule.kind) {
      case 'key':
        this.keys.set(rule.hash, rule);
        return;
      case 'program':
        this.programs.set(rule.name, rule);
        return;
      case 'route':
        this.routes.set(rule.name, rule);
        return;
      case 'service':
        this.services.set(rule.name, rule);
        return;
      case 'workspace':
        this.workspaces.set(rule.name, rule);
        return;
    }
  }

  /** Removes a rule. */
  public remove(rule: Rule): void {
    switch (rule.kind) {
      case 'key':
        this.keys.delete(rule.hash);
        return;
      case 'program':
        this.programs.delete(rule.name);
        return;
      case 'route':
        this.routes.delete(rule.name);
        return;
      case 'service':
        this.services.delete(rule.name);
        return;
      case 'workspace':
        this.workspaces.delete(rule.name);
        return;
    }
  }

  /** Builds the configuration of the current rules. */
  public build(version: ConfigurationVersion): Configuration {
    const routes = [...this.routes.snapshot().values()];
    return {
      keys: this.keys.snapshot(),
      programs: this.programs.snapshot(),
      routes: routes.sort((left, right) => right.path.length - left.path.length),
      services: this.services.snapshot(),
      version,
      workspaces: this.workspaces.snapshot(),
    };
  }
}
