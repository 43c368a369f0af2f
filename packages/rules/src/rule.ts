import type { KeyHash, ServiceName, WorkspaceName } from '@zincring/core';

/** Properties common to all rules: the position in the file, the requester and the reason. */
export interface RuleOrigin {
  /** Line number in the rule file, starting at 1. */
  readonly line: number;
  /** Name of the person who requested the rule. */
  readonly requester: string;
  /** Reason for the rule. */
  readonly reason: string;
}

/** Workspace with its rate and burst across the fleet. */
export interface WorkspaceRule extends RuleOrigin {
  readonly kind: 'workspace';
  readonly name: WorkspaceName;
  /** Requests per second. */
  readonly rate: number;
  /** Maximum number of requests admitted at the same moment after an idle period. */
  readonly burst: number;
  /** Relative share of the upstreams when workspaces compete. */
  readonly weight: number;
  /** Maximum number of programs open at the same time. */
  readonly programs: number;
}

/** Key of a workspace, stored only as its hash. */
export interface KeyRule extends RuleOrigin {
  readonly kind: 'key';
  readonly name: string;
  readonly workspace: WorkspaceName;
  readonly hash: KeyHash;
}

/** Policy that gives programs a budget and restricts them to services. */
export interface ProgramRule extends RuleOrigin {
  readonly kind: 'program';
  readonly name: string;
  /** Services that programs under the policy may call. */
  readonly services: readonly ServiceName[];
  /** Maximum number of tokens of a program, prompt tokens and generated tokens together. */
  readonly tokens: number;
  /** Maximum number of calls of a program, including those of sub-agents. */
  readonly calls: number;
  /** Seconds without a call after which a program ends. */
  readonly idleSeconds: number;
  /** Seconds after which a program ends, even if calls still arrive. */
  readonly lifetimeSeconds: number;
}

/** Protocol between an instance and the upstreams of a service. */
export type ServiceProtocol = 'engine' | 'plain';

/** Service that upstream replicas offer. */
export interface ServiceRule extends RuleOrigin {
  readonly kind: 'service';
  readonly name: ServiceName;
  readonly protocol: ServiceProtocol;
  /** Whether calls with an unsafe HTTP method may be repeated. */
  readonly idempotent: boolean;
  /** Whether upstreams check fencing tokens and refuse commands with an outdated one. */
  readonly fencing: 'checked' | 'ignored';
  /** Maximum duration of one call, in seconds. */
  readonly timeoutSeconds: number;
  /** Maximum number of calls in flight at one replica, summed over all instances. */
  readonly concurrency: number;
}

/** Route for requests outside of programs, to one service. */
export interface RouteRule extends RuleOrigin {
  readonly kind: 'route';
  readonly name: string;
  /** Prefix of the request path, starting with a slash. */
  readonly path: string;
  readonly service: ServiceName;
  /** Whether callers need a key. */
  readonly access: 'key' | 'open';
}

/** Rule of any kind. */
export type Rule = KeyRule | ProgramRule | RouteRule | ServiceRule | WorkspaceRule;

/** Kind of a rule. */
export type RuleKind = Rule['kind'];

/** Type of the rules of one kind. */
export type RuleOf<Kind extends RuleKind> = Extract<Rule, { readonly kind: Kind }>;
