import type {
  Brand,
  ConfigurationVersion,
  Region,
  ServiceName,
  WorkspaceName,
} from '@zincring/core';

/** Name of a route, as given by the operator. */
export type RouteName = Brand<string, 'RouteName'>;

/**
 * Whether the requests of a route may be repeated: `safe` requests may run again, `unsafe` ones run
 * at most once, and `streaming` ones run at most once unless the route is resumable.
 */
export type RouteKind = 'safe' | 'streaming' | 'unsafe';

/** A service of a route and its share of the requests. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Weight, relative to those of the other services of the route. */
  readonly weight: number;
}

/** Maps requests of a host and path prefix to services. */
export interface GatewayRoute {
  readonly name: RouteName;
  readonly host: string;
  /** Prefix of the paths; starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Maximum time for which a caller waits for a response, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Latency target: time within which a response is fully useful to its caller, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Maximum number of replicas that may run one request. */
  readonly maximumAttempts: number;
  /** Priority of its requests; 0 is the highest. */
  readonly priority: number;
  /** Whether requests need no API key. */
  readonly isOpen: boolean;
  /** Whether requests for an object prefer a replica that has handled it before, as that one answers faster. */
  readonly isSticky: boolean;
  /** Whether an interrupted stream may be resumed at another replica. */
  readonly isResumable: boolean;
  /** Whether the gateway stores turns, so that callers send only the new input of each turn. */
  readonly storesTurns: boolean;
  /** Time for which turns are stored, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Permitted regions: those whose replicas may get its requests; any if empty or absent. */
  readonly permittedRegions?: readonly Region[] | undefined;
}

/** Capacity of each model engine of a service. */
export interface EngineDescription {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Tokens that fit into its cache memory. */
  readonly cacheTokens: number;
  /** Tokens that one event of a stream represents. */
  readonly tokensPerEvent: number;
}

/** What a replica bears while it is cold. */
export interface WarmUpDescription {
  /** Requests per second from all instances together that a cold replica tolerates. */
  readonly requestsPerSecond: number;
  /** Time for which a replica is cold after its start, in milliseconds. */
  readonly milliseconds: number;
}

/** A service to which routes send requests. */
export interface GatewayService {
  readonly name: ServiceName;
  /** Connections that each replica accepts from all callers together. */
  readonly maximumConnections: number;
  /** How its replicas warm up after a start; `undefined` if they take any rate at once. */
  readonly warmUp?: WarmUpDescription | undefined;
  /** Present when its replicas are model engines. */
  readonly engine: EngineDescription | undefined;
}

/** A workspace with its API keys and its rate limit. */
export interface GatewayWorkspace {
  readonly name: WorkspaceName;
  readonly keys: readonly string[];
  /** Priority of its requests, which takes precedence over that of the route. */
  readonly priority: number | undefined;
  /** Requests per second over all instances; 0 when unlimited. */
  readonly ratePerSecond: number;
  /** Requests that may arrive at the same time. */
  readonly burst: number;
  /** Permitted regions: those whose replicas may get its requests; any if empty or absent. */
  readonly permittedRegions?: readonly Region[] | undefined;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  /** Time within which the headers of a request must arrive, in milliseconds. */
  readonly headerTimeoutMilliseconds: number;
  /** Time for which a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
}

/** One complete version of the operator's configuration. */
export interface GatewayConfiguration {
  readonly version: ConfigurationVersion;
  readonly routes: readonly GatewayRoute[];
  readonly services: readonly GatewayService[];
  /**
   * Workspaces whose keys are accepted: none while the list is empty. `undefined` if the configuration contains no
   * list; its routes need no key then, unless an earlier configuration contained one.
   */
  readonly workspaces: readonly GatewayWorkspace[] | undefined;
  readonly callerLimits: CallerLimits;
}
