import type { GatewayOptions } from '../lifecycle/gatewayOptions.js';

import { REQUEST_COST_BYTES } from './connectionIntake.js';

/** Most connections that each listener of an instance has open at a time. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly metrics: number;
  readonly peers: number;
  readonly readiness: number;
}

/** Bounds of what an instance takes in, derived from its memory and descriptors. */
export interface ListenerLimits {
  readonly connections: ConnectionLimits;
  /** Most requests of callers that may be in progress at a time. */
  readonly callerRequests: number;
}

/** Descriptors of a process that are no connections. */
const FILE_DESCRIPTORS = 200;
/** Shares of the descriptors; connections to replicas, to the store and to other instances take the remainder. */
const DESCRIPTOR_SHARES: ConnectionLimits = {
  callers: 0.5,
  metrics: 0.05,
  peers: 0.2,
  readiness: 0.05,
};
/** Most connections of each listener, however much memory it has. */
const MAXIMUM_CONNECTIONS: ConnectionLimits = {
  callers: 16_384,
  metrics: 16,
  peers: 4_096,
  readiness: 64,
};
/** Memory that an open connection takes without a request, and share of the memory for all of them. */
const CONNECTION_MEMORY = { bytes: 16_384, share: 0.25 };
/** Share of the memory for all requests of callers, besides their heads and bodies. */
const REQUEST_MEMORY_SHARE = 0.25;
const MAXIMUM_CALLER_REQUESTS = 4_096;
/** Connections and requests that every instance has room for. */
const MINIMUM_COUNT = 16;

/**
 * Derives the bounds of the listeners from the descriptors and the memory of an instance.
 *
 * @example
 * deriveListenerLimits({ ...options, descriptors: 8_200, memoryBytes: 210_000_000 }).connections.callers; // 3204
 */
export function deriveListenerLimits({
  descriptors = Infinity,
  memoryBytes = Infinity,
}: Pick<GatewayOptions, 'descriptors' | 'memoryBytes'>): ListenerLimits {
  const countConnections = (listener: keyof ConnectionLimits): number =>
    limitCount(
      (descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARES[listener],
      (memoryBytes * CONNECTION_MEMORY.share) / CONNECTION_MEMORY.bytes,
      MAXIMUM_CONNECTIONS[listener],
    );
  return {
    callerRequests: limitCount(
      (memoryBytes * REQUEST_MEMORY_SHARE) / REQUEST_COST_BYTES,
      MAXIMUM_CALLER_REQUESTS,
    ),
    connections: {
      callers: countConnections('callers'),
      metrics: countConnections('metrics'),
      peers: countConnections('peers'),
      readiness: countConnections('readiness'),
    },
  };
}

function limitCount(...bounds: readonly number[]): number {
  return Math.max(MINIMUM_COUNT, Math.floor(Math.min(...bounds)));
}
