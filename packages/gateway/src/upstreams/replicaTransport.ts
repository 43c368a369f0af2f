import type { Logger, ResponseTurns, TimerService } from '@zincring/core';

import type { HeaderCodec } from '../callers/requestFacts.js';
import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { ReplicaReachability } from './reachability/replicaReachability.js';
import type { ReplicaEntry } from './replica.js';
import type { ExchangeOutcome, IdentifiedRequest, ReplicaRequest } from './replicaExchange.js';
import type { ReplicaLoads } from './replicaLoads.js';
import type { IdentifiedOutcome } from './responseIdentity.js';

import { exchangeWithReplica } from './replicaExchange.js';
import { identifyResponse } from './responseIdentity.js';

/** Outcome of an exchange through another instance: `unavailable` if none can relay it. */
export type RelayOutcome =
  ExchangeOutcome | { readonly kind: 'unavailable'; readonly reason: string };

/** Exchanges with replicas through other instances. */
export interface ReplicaRelay {
  exchange(entry: ReplicaEntry, request: ReplicaRequest): Promise<RelayOutcome>;
}

/** Dependencies of a {@link ReplicaTransport}. */
export interface ReplicaTransportDependencies {
  readonly headerCodec: HeaderCodec;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly timers: TimerService;
  readonly loads: ReplicaLoads;
  readonly reachability: ReplicaReachability;
  readonly relay: ReplicaRelay;
  readonly turns: ResponseTurns;
}

/**
 * Sends attempts to replicas: directly, or through another instance while this one may have lost its links
 * to the replicas.
 *
 * @example
 * const outcome = await transport.exchange(entry, request);
 */
export class ReplicaTransport {
  public constructor(private readonly dependencies: ReplicaTransportDependencies) {}

  /** Whether the failures of connections may be due to the links of this instance. */
  public get isPathSuspect(): boolean {
    return this.dependencies.reachability.state !== 'reachable';
  }

  /** Sends an attempt by the path that is known to work. */
  public async exchange(
    entry: ReplicaEntry,
    request: IdentifiedRequest,
  ): Promise<IdentifiedOutcome> {
    if (!this.isPathSuspect) {
      return await this.exchangeDirectly(entry, request);
    }
    const outcome = await this.dependencies.relay.exchange(entry, request);
    return outcome.kind === 'unavailable'
      ? await this.exchangeDirectly(entry, request)
      : this.identify(entry, request, outcome);
  }

  /** Sends an attempt without other instances. */
  public async exchangeDirectly(
    entry: ReplicaEntry,
    request: IdentifiedRequest,
  ): Promise<IdentifiedOutcome> {
    const { loads, reachability, timers, turns } = this.dependencies;
    const { agent } = loads.findOrAddState(entry);
    if (!request.isRepeatable && !reachability.hasEvidence) {
      // A kept connection may be dead; opening a new one shows that the path works.
      agent.closeIdleConnections();
    }
    const watch = reachability.watch(entry, request.isRepeatable);
    const reading = {
      onFlood: () => {
        this.recordFlood(entry);
      },
      turns,
    };
    const outcome = await exchangeWithReplica(timers, { agent, entry, reading, watch }, request);
    return outcome.kind === 'answered'
      ? this.identify(entry, request, outcome)
      : { ...outcome, isPathFault: outcome.isPathFault || this.isPathSuspect };
  }

  private recordFlood({ id, service }: ReplicaEntry): void {
    const { logger, metrics } = this.dependencies;
    metrics.floods.inc({ service });
    logger.warn(
      { event: 'response-flood', replica: id, service },
      'a replica sends far more than an ordinary response',
    );
  }

  private identify(
    { service }: ReplicaEntry,
    { requestId }: IdentifiedRequest,
    outcome: ExchangeOutcome,
  ): IdentifiedOutcome {
    const { headerCodec, metrics } = this.dependencies;
    const identified = identifyResponse(headerCodec, requestId, outcome);
    if (identified.kind === 'foreign' && identified.foreignResponse !== undefined) {
      const kind = identified.foreignResponse.isRefusal ? 'refusal' : 'answer';
      metrics.foreignResponses.inc({ kind, service });
    }
    return identified;
  }
}
