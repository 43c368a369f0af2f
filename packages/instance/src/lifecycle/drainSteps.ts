import type { Logger, TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

/** The parts of an instance that a graceful shutdown goes through. */
export interface DrainParts {
  /** Tells peers that this instance leaves, and holds no longer what it has handed over. */
  readonly announce: () => void;
  /** Makes callers' connections close with their answers; requests are still taken. */
  readonly closeConnectionsAfterAnswers: () => void;
  /** Hands over what other instances should hold, after the work on it has finished. */
  readonly handOver: () => Promise<void>;
  /** Takes no new connections of callers and waits until every request is answered. */
  readonly drainCallers: () => Promise<void>;
  /** Takes no new requests of peers and waits until every stream to them has ended. */
  readonly drainPeers: () => Promise<void>;
  /** Stops timers and closes connections to others. */
  readonly close: () => void;
}

/** How a graceful shutdown is carried out. */
export interface DrainOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  /** How long requests are still taken while balancers learn of it, in milliseconds. */
  readonly noticeMilliseconds: number;
}

/**
 * Shuts down gracefully. The order matters: new requests have to go elsewhere before the listener
 * closes, shards have a new holder before the last answers are sent, and peers read the end of
 * their streams before the connections to them close.
 *
 * @example
 * await drain(parts, { logger, noticeMilliseconds: 5_000, timers });
 */
export async function drain(parts: DrainParts, options: DrainOptions): Promise<void> {
  const { logger, noticeMilliseconds, timers } = options;
  logger.info({}, 'drain started');
  parts.announce();
  parts.closeConnectionsAfterAnswers();
  await sleep(timers, noticeMilliseconds);
  logger.info({}, 'drain hands over');
  await parts.handOver();
  parts.announce();
  await parts.drainCallers();
  logger.info({}, 'drain answered every caller');
  await parts.drainPeers();
  parts.close();
  logger.info({}, 'drain finished');
}
