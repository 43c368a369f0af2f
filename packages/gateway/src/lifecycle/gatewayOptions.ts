import type { AvailabilityZone, InstanceId, Region } from '@zincring/core';

import type { ColdRateBound } from '../upstreams/permits/coldReplicas.js';

import type { HeldMemoryOptions } from '../callers/memory/heldMemory.js';

/** IP address and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of a gateway instance. */
export interface GatewayOptions {
  readonly instance: InstanceId;
  readonly availabilityZone: AvailabilityZone;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<AvailabilityZone, Region>;
  /** Address for callers. */
  readonly callers: ListenAddress;
  /** Address for the readiness checks of the load balancer. */
  readonly readiness: ListenAddress;
  /** Address for metrics. */
  readonly metrics: ListenAddress;
  /** Address for the other instances. */
  readonly peers: ListenAddress;
  /** Maximum time that a withdrawn key may still be accepted, in milliseconds; one of the operator's bounds. */
  readonly revocationMilliseconds: number;
  /** Time after which the replicas of an evacuated availability zone must not receive new requests, in milliseconds; one of the operator's bounds. */
  readonly evacuationMilliseconds: number;
  /** Maximum time that an outdated configuration may be in force during a failure of the store, in milliseconds; one of the operator's bounds. */
  readonly staleConfigurationMilliseconds: number;
  /** Time after which a draining replica must not receive new requests, in milliseconds; one of the operator's bounds. */
  readonly drainMilliseconds: number;
  /** Time between the request to stop and the forced termination, in milliseconds; one of the operator's bounds. */
  readonly graceMilliseconds: number;
  /** Requests that a cold replica may get; one of the operator's bounds. */
  readonly coldRateBound: ColdRateBound;
  /** Maximum size of one row of the store, in bytes. */
  readonly rowBytes: number;
  /** Memory of the instance, in bytes; what it holds for callers is not bounded by default. */
  readonly memoryBytes?: number;
  /** Descriptors that the instance may have open; they are not bounded by default. */
  readonly descriptors?: number;
}

/** Times of an instance in milliseconds, derived from the operator's bounds. */
export interface GatewayTimes {
  /** Maximum age at which the configuration counts as current. */
  readonly freshMilliseconds: number;
  /** Maximum time that one request to the store waits for changes of the configuration. */
  readonly configurationPollTimeoutMilliseconds: number;
  /** Interval between reads of the list of replicas. */
  readonly replicaPollIntervalMilliseconds: number;
  /** Time after a request to stop at which the load balancer sends no more new connections. */
  readonly noticeMilliseconds: number;
  /** Time during which new connections are still accepted after a request to stop. */
  readonly acceptingMilliseconds: number;
  /** Time after a request to stop at which requests that are still in flight are interrupted. */
  readonly stopMilliseconds: number;
}

/**
 * Fraction of the revocation bound, or of the shorter one for evacuations, after which an instance without contact to the store refuses
 * requests. The remainder is a margin for the feed, which may miss changes for one second.
 * Refusals are allowed from this age on.
 */
const FRESH_SHARE = 0.6;
/** Number of polls for changes of the configuration within the time that it counts as current. */
const POLLS_WHILE_FRESH = 3;
/** Number of reads of the list of replicas within the time that a draining one may receive new requests. */
const POLLS_WHILE_REPLICA_DRAINS = 4;
/** Time that the load balancer needs to redirect callers, in milliseconds: two checks, one a second, and their responses. */
const BALANCER_NOTICE_MILLISECONDS = 2_500;
/** Fraction of the grace period in which new connections are accepted: longer than the load balancer needs, since it may find few other instances. */
const ACCEPTING_SHARE = 0.45;
/** Fraction of the grace period in which requests may be in flight; the remainder is for what the instance holds in the store. */
const STOP_SHARE = 0.9;

/** Share of the memory of an instance that may hold requests; code and caches take the remainder. */
const HELD_SHARE = 0.25;
/** Share for responses that their callers have yet to read: of its own, so that they never keep requests out. */
const RESPONSE_SHARE = 0.1;

/**
 * Derives the bounds of what an instance holds for its callers from its memory.
 *
 * @example
 * deriveHeldMemoryOptions({ ...options, memoryBytes: 160_000_000 }).capacityBytes; // 40_000_000
 */
export function deriveHeldMemoryOptions({ memoryBytes }: GatewayOptions): HeldMemoryOptions {
  return memoryBytes === undefined ? {} : { capacityBytes: memoryBytes * HELD_SHARE };
}

/**
 * Derives the bounds of the responses that an instance holds for its callers from its memory.
 *
 * @example
 * deriveResponseMemoryOptions({ ...options, memoryBytes: 160_000_000 }).capacityBytes; // 16_000_000
 */
export function deriveResponseMemoryOptions({ memoryBytes }: GatewayOptions): HeldMemoryOptions {
  return memoryBytes === undefined ? {} : { capacityBytes: memoryBytes * RESPONSE_SHARE };
}

/**
 * Derives the times of an instance from the operator's bounds.
 *
 * @example
 * deriveGatewayTimes(options).freshMilliseconds; // 3000 for a bound of 5000
 */
export function deriveGatewayTimes(options: GatewayOptions): GatewayTimes {
  const freshMilliseconds =
    Math.min(options.revocationMilliseconds, options.evacuationMilliseconds) * FRESH_SHARE;
  const acceptingMilliseconds = options.graceMilliseconds * ACCEPTING_SHARE;
  return {
    configurationPollTimeoutMilliseconds: freshMilliseconds / POLLS_WHILE_FRESH,
    acceptingMilliseconds,
    freshMilliseconds,
    noticeMilliseconds: Math.min(BALANCER_NOTICE_MILLISECONDS, acceptingMilliseconds),
    replicaPollIntervalMilliseconds: options.drainMilliseconds / POLLS_WHILE_REPLICA_DRAINS,
    stopMilliseconds: options.graceMilliseconds * STOP_SHARE,
  };
}
