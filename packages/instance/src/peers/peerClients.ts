import type { Client } from '@connectrpc/connect';
import type { TimerService } from '@zincring/core';

import { RpcClients, SystemTimerService } from '@zincring/core';
import { PeerService } from '@zincring/protocol';

/** RPC client of one instance. */
export type PeerClient = Client<typeof PeerService>;

/** Time without data on a connection with open streams before a ping is sent, in milliseconds. */
const PING_INTERVAL_MILLISECONDS = 1_000;

/** Time without a response to a ping before the connection counts as broken, in milliseconds. */
const PING_TIMEOUT_MILLISECONDS = 3_000;

/** Keeps one HTTP/2 connection for each peer address in use. */
export class PeerClients extends RpcClients<typeof PeerService> {
  public constructor(timers: TimerService = new SystemTimerService()) {
    super(PeerService, timers, {
      intervalMilliseconds: PING_INTERVAL_MILLISECONDS,
      timeoutMilliseconds: PING_TIMEOUT_MILLISECONDS,
    });
  }
}
