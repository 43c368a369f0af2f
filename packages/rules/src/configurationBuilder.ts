import type { ConfigurationVersion, KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

import type { Configuration } from './configuration.js';
import type { KeyRule, ProgramRule, RouteRule, Rule, ServiceRule, WorkspaceRule } from './rule.js';

/** A map that is copied for readers, and copied again only after it has changed. */
class CopiedMap<Key, Value> {
  public readonly entries = new Map<Key, Value>();
  private copy: ReadonlyMap<Key, Value> | undefined;

  public set(key: Key, value: Value): void {
    this.entries.set(key, value);
    this.copy = undefined;
  }

  public delete(key: Key): void {
    this.entries.delete(key);
    this.copy = undefined;
  }

  /** The entries as they are now. */
  public snapshot(): ReadonlyMap<Key, Value> {
    this.copy ??= new Map(this.entries);
    return this.copy;
  }
}

/** Makes configurations from rules that change one by one. */
export class ConfigurationBuilder {
  private readonly keys = new CopiedMap<KeyHash, KeyRule>();
  private readonly programs = new CopiedMap<string, ProgramRule>();
  private readonly routes = new CopiedMap<string, RouteRule>();
  private readonly services = new CopiedMap<ServiceName, ServiceRule>();
  private readonly workspaces = new CopiedMap<WorkspaceName, WorkspaceRule>();

  /** Names of the rules of a kind that others may refer to. */
  public names(kind: 'service' | 'workspace'): readonly string[] {
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

  /** Takes a rule out. */
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

  /** The configuration as it is now. */
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
