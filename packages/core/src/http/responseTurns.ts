import type { ClientRequest } from 'node:http';

import type { TimerService } from '../time/timerService.js';
import type { ResponseObserver } from './responseIntake.js';

import { BytePacer } from './bytePacer.js';
import { IntakeTurns } from './intakeTurns.js';
import { ResponseIntake } from './responseIntake.js';

/** Bytes of all large responses that are parsed in one iteration of the event loop; forwarding them takes as long again. */
const BYTES_PER_ITERATION = 32_768;

/**
 * Lets large and fast responses take turns, so that reading and forwarding them takes a bounded share of each
 * iteration of the event loop.
 *
 * @example
 * const turns = new ResponseTurns(timers);
 * await runExchange(options, handlers, { turns });
 */
export class ResponseTurns {
  private readonly turns: IntakeTurns;

  /** @param onRead called with the bytes that were read in a turn */
  public constructor(
    private readonly timers: TimerService,
    onRead?: (bytes: number) => void,
  ) {
    const pacer = new BytePacer(timers, onRead);
    this.turns = new IntakeTurns(timers, pacer, { bytesPerIteration: BYTES_PER_ITERATION });
  }

  /** Reads the response to a request that has no connection yet. */
  public read(outgoing: ClientRequest, observer: ResponseObserver): void {
    const { timers, turns } = this;
    outgoing.once(
      'socket',
      socket => new ResponseIntake(outgoing, socket, { observer, timers, turns }),
    );
  }
}
