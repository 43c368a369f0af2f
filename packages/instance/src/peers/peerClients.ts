import type { Client } from '@connectrpc/connect';
import type { TimerService } from '@zincring/core';

import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { SessionManager, SystemTimerService } from '@zincring/core';
import { PeerService } from '@zincring/protocol';

/** RPC client of one instance. */
export type PeerClient = Client<typeof PeerService>;

interface Connection {
  readonly client: PeerClient;
  readonly sessions: SessionManager;
}

/** Time without data on a connection with open streams before a ping is sent, in milliseconds. */
const PING_INTERVAL_MILLISECONDS = 1_000;

/** Time without a response to a ping before the connection counts as broken, in milliseconds. */
const PING_TIMEOUT_MILLISECONDS = 3_000;

/** Keeps one HTTP/2 connection for each peer address in use. */
export class PeerClients {
  private readonly connections = new Map<string, Connection>();

  public constructor(private readonly timers: TimerService = new SystemTimerService()) {}

  /** Returns the client of a peer address. */
  public at(address: string): PeerClient {
    const known = this.connections.get(address);
    if (known !== undefined) {
      return known.client;
    }
    const baseUrl = `http://${address}`;
    const sessions = new SessionManager(baseUrl, this.timers, {
      intervalMilliseconds: PING_INTERVAL_MILLISECONDS,
      timeoutMilliseconds: PING_TIMEOUT_MILLISECONDS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
    });
    const client = createClient(PeerService, transport);
    this.connections.set(address, { client, sessions });
    return client;
  }

  /** Closes the connections to addresses outside the set. */
  public retain(addresses: ReadonlySet<string>): void {
    for (const [address, connection] of this.connections) {
      if (!addresses.has(address)) {
        connection.sessions.abort();
        this.connections.delete(address);
      }
    }
  }

  /** Closes every connection. */
  public close(): void {
    this.retain(new Set());
  }
}
