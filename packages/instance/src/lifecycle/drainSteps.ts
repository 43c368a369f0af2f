import type { Logger, TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

/** Steps of a graceful shutdown. */
export interface DrainSteps {
  /** Announces to peers that this instance is leaving and which shards it still holds. */
  readonly announceLeaving: () => void;
  /** Closes each connection of callers after its response; requests are still accepted. */
  readonly closeConnectionsAfterResponses: () => void;
  /** Hands over shards after the calls on them have finished, and releases rate seats and loans. */
  readonly handOver: () => Promise<void>;
  /** Stops accepting connections of callers and waits until every request has been answered. */
  readonly drainCallers: () => Promise<void>;
  /** Stops accepting requests of peers and waits until every stream to them has ended. */
  readonly drainPeers: () => Promise<void>;
  /** Stops timers and closes outgoing connections. */
  readonly close: () => void;
}

/** Options of {@link drain}. */
export interface DrainOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  /**
   * Time for which requests are still accepted until load balancers have noticed the shutdown, in
   * milliseconds.
   */
  readonly noticeMilliseconds: number;
}

/**
 * Shuts down gracefully. The order matters: load balancers must send new requests elsewhere before
 * the listener closes, shards must have a new holder before the last responses are sent, and peers
 * must read the end of their streams before the connections to them close.
 *
 * @example
 * await drain(steps, { logger, noticeMilliseconds: 5_000, timers });
 */
export async function drain(steps: DrainSteps, options: DrainOptions): Promise<void> {
  const { logger, noticeMilliseconds, timers } = options;
  logger.info({}, 'drain started');
  steps.announceLeaving();
  steps.closeConnectionsAfterResponses();
  await sleep(timers, noticeMilliseconds);
  logger.info({}, 'drain hands over');
  await steps.handOver();
  steps.announceLeaving();
  await steps.drainCallers();
  logger.info({}, 'drain answered every caller');
  await steps.drainPeers();
  steps.close();
  logger.info({}, 'drain finished');
}
