import type { Brand, ConfigurationVersion, ServiceName, WorkspaceName } from '@zincring/core';

/** Name of a route, as the operator gives it. */
export type RouteName = Brand<string, 'RouteName'>;

/**
 * What may be repeated: `safe` requests may run again, `unsafe` ones run at most once, and
 * `streaming` ones run at most once unless the route says that they may be resumed.
 */
export type RouteKind = 'safe' | 'streaming' | 'unsafe';

/** One service of a route and its share of the requests. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Relative to the weights of the other services. */
  readonly weight: number;
}

/** Where requests of a host and path prefix go. */
export interface GatewayRoute {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is of full use to its caller, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Replicas that may run one request, at most. */
  readonly maximumAttempts: number;
  /** Rank of its requests; 0 comes first. */
  readonly priority: number;
  /** Whether no key is asked for. */
  readonly isOpen: boolean;
  /** Whether replicas answer faster when they have handled the same object before. */
  readonly isSticky: boolean;
  /** Whether an interrupted stream may go on at another replica. */
  readonly isResumable: boolean;
  /** Whether the system keeps what was said and callers send only what is new. */
  readonly keepsTurns: boolean;
  /** Time for which turns are kept, in milliseconds. */
  readonly retentionMilliseconds: number;
}

/** What the engines of a service can hold. */
export interface EngineDescription {
  /** Requests that run at the same time. */
  readonly slots: number;
  /** Tokens that fit its memory. */
  readonly cacheTokens: number;
  /** Tokens that one event of a stream stands for. */
  readonly tokensPerEvent: number;
}

/** A service that routes lead to. */
export interface GatewayService {
  readonly name: ServiceName;
  /** Connections that each replica accepts from all callers together. */
  readonly maximumConnections: number;
  /** Present when its replicas are model engines. */
  readonly engine: EngineDescription | undefined;
}

/** A workspace with its keys and its rate. */
export interface GatewayWorkspace {
  readonly name: WorkspaceName;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of the route. */
  readonly priority: number | undefined;
  /** Requests a second over all instances; 0 when unlimited. */
  readonly ratePerSecond: number;
  /** Requests that may come at once. */
  readonly burst: number;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  /** Time in which the headers of a request must arrive. */
  readonly headerTimeoutMilliseconds: number;
  /** Time for which a connection may stay idle. */
  readonly idleTimeoutMilliseconds: number;
}

/** One version of the operator's configuration, in full. */
export interface GatewayConfiguration {
  readonly version: ConfigurationVersion;
  readonly routes: readonly GatewayRoute[];
  readonly services: readonly GatewayService[];
  readonly workspaces: readonly GatewayWorkspace[];
  readonly callerLimits: CallerLimits;
}
