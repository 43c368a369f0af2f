import type { Logger, TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { GatewayServer } from '../callers/gatewayServer.js';
import type { RequestPipeline } from '../callers/requestPipeline.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import type { StoreTokenAccounts } from '../programs/storeTokenAccounts.js';
import type { PlannedStopSteps } from './plannedStop.js';

/** Dependencies of {@link GatewayStopSteps}. */
export interface GatewayStopDependencies {
  readonly logger: Logger;
  readonly peers: PeerNetwork;
  readonly pipeline: RequestPipeline;
  readonly server: GatewayServer;
  readonly timers: TimerService;
  readonly tokenAccounts: StoreTokenAccounts;
  /** Resolves when a start that is under way has ended, successfully or not. */
  readonly finishStart: () => Promise<void>;
  /** Stops what sends requests to replicas. */
  readonly stopReplicas: () => void;
  /** Stops what follows the store and closes the other listeners. */
  readonly close: () => void;
}

/** Time in which interrupted requests get their responses, in milliseconds. */
const INTERRUPTION_MILLISECONDS = 100;
/** Timeout for the release of reserved tokens, in milliseconds: fits the remainder of the grace period. */
const BUDGET_RELEASE_TIMEOUT_MILLISECONDS = 400;

/** Steps of the planned stop of a gateway. */
export class GatewayStopSteps implements PlannedStopSteps {
  public constructor(private readonly dependencies: GatewayStopDependencies) {}

  public async finishStart(): Promise<void> {
    await this.dependencies.finishStart();
  }

  public announce(): void {
    const { logger, peers, server, tokenAccounts } = this.dependencies;
    logger.info({ event: 'stopping', underWay: server.requestsInFlight }, 'stopping');
    server.announceClose();
    void peers.leave();
    tokenAccounts.stopReservingAhead();
  }

  public closeIdleConnections(): void {
    this.dependencies.server.closeIdleConnections();
  }

  public async finishCallers(timeoutMilliseconds: number): Promise<void> {
    await this.dependencies.server.close(timeoutMilliseconds);
  }

  public async finishRelays(timeoutMilliseconds: number): Promise<void> {
    await this.dependencies.peers.finishRelays(timeoutMilliseconds);
  }

  public async interrupt(): Promise<void> {
    const { pipeline, server, timers } = this.dependencies;
    if (server.requestsInFlight > 0) {
      pipeline.interruptAll();
      await sleep(timers, INTERRUPTION_MILLISECONDS);
    }
  }

  public async release(): Promise<void> {
    const { close, logger, server, stopReplicas, timers, tokenAccounts } = this.dependencies;
    stopReplicas();
    await Promise.race([
      tokenAccounts.releaseAll(),
      sleep(timers, BUDGET_RELEASE_TIMEOUT_MILLISECONDS),
    ]);
    close();
    logger.info({ event: 'stopped', underWay: server.requestsInFlight }, 'stopped');
  }
}
