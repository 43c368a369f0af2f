import type { AvailabilityZone, InstanceId } from '@zincring/core';

/** An IP number and a port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** What an instance needs to know to serve requests directly. */
export interface GatewayOptions {
  readonly instance: InstanceId;
  readonly availabilityZone: AvailabilityZone;
  /** Where callers connect. */
  readonly callers: ListenAddress;
  /** Where the balancer asks whether to send callers here. */
  readonly readiness: ListenAddress;
  /** Where metrics are served. */
  readonly metrics: ListenAddress;
  /** Time for which a withdrawn key may still work, in milliseconds; from the operator's bounds. */
  readonly revocationMilliseconds: number;
  /** Time for which an older configuration may be in force while the store is troubled, in milliseconds; from the operator's bounds. */
  readonly staleConfigurationMilliseconds: number;
  /** Time after which a leaving replica must get nothing new, in milliseconds; from the operator's bounds. */
  readonly drainMilliseconds: number;
  /** Time between the request to stop and the forced end, in milliseconds; from the operator's bounds. */
  readonly graceMilliseconds: number;
  /** Most bytes that one row of the store holds. */
  readonly rowBytes: number;
}

/** Times that follow from the operator's bounds. */
export interface GatewayTimes {
  /** Age up to which the configuration counts as current. */
  readonly freshMilliseconds: number;
  /** Longest wait for news of the configuration. */
  readonly configurationWaitMilliseconds: number;
  /** Pause between looks at the list of replicas. */
  readonly replicaPauseMilliseconds: number;
  /** Time for which callers are still taken in after a request to stop. */
  readonly drainingMilliseconds: number;
  /** Time after which the process ends with requests under way. */
  readonly stopMilliseconds: number;
}

/**
 * Part of the revocation bound after which an instance without the store stops serving: the feed
 * may miss a second of changes, and callers are not owed an answer from then on.
 */
const FRESH_SHARE = 0.6;
/** Looks at the configuration within the time it stays fresh. */
const LOOKS_WHILE_FRESH = 3;
/** Looks at the replicas within the time that a leaving one may get requests. */
const LOOKS_WHILE_DRAINING = 4;
/** Part of the grace period in which callers may still arrive: the balancer needs two seconds to turn away. */
const DRAINING_SHARE = 0.45;
/** Part of the grace period after which the process ends. */
const STOP_SHARE = 0.9;

/**
 * Works out the times of an instance from the operator's bounds.
 *
 * @example
 * gatewayTimes(options).freshMilliseconds; // 3000 for a bound of 5000
 */
export function gatewayTimes(options: GatewayOptions): GatewayTimes {
  const freshMilliseconds = options.revocationMilliseconds * FRESH_SHARE;
  return {
    configurationWaitMilliseconds: freshMilliseconds / LOOKS_WHILE_FRESH,
    drainingMilliseconds: options.graceMilliseconds * DRAINING_SHARE,
    freshMilliseconds,
    replicaPauseMilliseconds: options.drainMilliseconds / LOOKS_WHILE_DRAINING,
    stopMilliseconds: options.graceMilliseconds * STOP_SHARE,
  };
}
