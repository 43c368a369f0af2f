import type { Logger, TimerService } from '@zincring/core';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { ReplicaEntry } from './replica.js';

import { IntakeTurns } from '../listeners/intakeTurns.js';
import { BytePacer } from '../util/bytePacer.js';
import { ResponseIntake } from './responseIntake.js';

/** What {@link ResponseTurns} need. */
export interface ResponseTurnsDependencies {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly timers: TimerService;
}

/** A response that is about to be read. */
export interface ReadResponse {
  readonly entry: Pick<ReplicaEntry, 'id' | 'service'>;
  /** Called with the number of bytes of each piece, after it has been parsed. */
  readonly onParsed: (bytes: number) => void;
}

/** Bytes of all large responses that are parsed in one iteration of the event loop; forwarding them takes as long again. */
const BYTES_PER_ITERATION = 32_768;

/**
 * Lets the large and fast responses of all replicas take turns, so that reading and forwarding them takes a
 * bounded share of each iteration of the event loop.
 *
 * @example
 * const turns = new ResponseTurns({ logger, metrics, timers });
 * outgoing.on('socket', socket => turns.read(outgoing, socket, { entry, onParsed }));
 */
export class ResponseTurns {
  private readonly turns: IntakeTurns;

  public constructor(private readonly dependencies: ResponseTurnsDependencies) {
    const { metrics, timers } = dependencies;
    const pacer = new BytePacer(timers, bytes => {
      metrics.turnBytes.inc(bytes);
    });
    this.turns = new IntakeTurns(timers, pacer, { bytesPerIteration: BYTES_PER_ITERATION });
  }

  /** Reads the response to a request whose connection is known. */
  public read(outgoing: ClientRequest, socket: Socket, { entry, onParsed }: ReadResponse): void {
    const { logger, metrics, timers } = this.dependencies;
    const onFlood = (): void => {
      metrics.floods.inc({ service: entry.service });
      logger.warn(
        { event: 'response-flood', replica: entry.id, service: entry.service },
        'a replica sends far more than an ordinary response',
      );
    };
    new ResponseIntake(outgoing, socket, { onFlood, onParsed, timers, turns: this.turns });
  }
}
