import type { KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

/** What every rule carries: where it stands and who asked for it. */
export interface RuleOrigin {
  /** Line in the rule file, from 1. */
  readonly line: number;
  /** Who asked for the rule. */
  readonly requester: string;
  /** Why the rule exists. */
  readonly reason: string;
}

/** A workspace with its rate and burst across the whole fleet. */
export interface WorkspaceRule extends RuleOrigin {
  readonly kind: 'workspace';
  readonly name: WorkspaceName;
  /** Requests per second. */
  readonly rate: number;
  /** Requests that may come at once after a pause. */
  readonly burst: number;
  /** Share of the upstreams when workspaces compete. */
  readonly weight: number;
  /** Most programs open at a time. */
  readonly programs: number;
}

/** A key, kept as its hash alone. */
export interface KeyRule extends RuleOrigin {
  readonly kind: 'key';
  readonly name: string;
  readonly workspace: WorkspaceName;
  readonly hash: KeyHash;
}

/** A policy that binds programs to a budget and to services. */
export interface ProgramRule extends RuleOrigin {
  readonly kind: 'program';
  readonly name: string;
  /** Services that programs under the policy may call. */
  readonly services: readonly ServiceName[];
  /** Most tokens, prompts and answers together, over the whole program. */
  readonly tokens: number;
  /** Most calls over the whole program, sub-agents included. */
  readonly calls: number;
  /** Seconds without a call after which a program ends. */
  readonly idleSeconds: number;
  /** Seconds after which a program ends, calls or not. */
  readonly lifetimeSeconds: number;
}

/** How upstreams of a service are spoken to. */
export type ServiceProtocol = 'engine' | 'plain';

/** A service that upstream replicas offer. */
export interface ServiceRule extends RuleOrigin {
  readonly kind: 'service';
  readonly name: ServiceName;
  readonly protocol: ServiceProtocol;
  /** Whether calls with an unsafe method may be repeated. */
  readonly idempotent: boolean;
  /** Whether upstreams refuse orders with an old fencing number. */
  readonly fencing: 'checked' | 'ignored';
  /** Longest time of one call, in seconds. */
  readonly timeoutSeconds: number;
  /** Most calls in flight at one replica, over all instances. */
  readonly concurrency: number;
}

/** A route outside programs, to one service. */
export interface RouteRule extends RuleOrigin {
  readonly kind: 'route';
  readonly name: string;
  /** Prefix of the path, beginning with a slash. */
  readonly path: string;
  readonly service: ServiceName;
  /** Whether callers need a key. */
  readonly access: 'key' | 'open';
}

/** Any rule. */
export type Rule = KeyRule | ProgramRule | RouteRule | ServiceRule | WorkspaceRule;

/** The kinds of rule. */
export type RuleKind = Rule['kind'];

/** The rule of a kind. */
export type RuleOf<Kind extends RuleKind> = Extract<Rule, { readonly kind: Kind }>;
