import type { DescService } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';

import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

import type { TimerService } from '../time/timerService.js';
import type { SessionCheckOptions } from './sessionManager.js';

import { SessionManager } from './sessionManager.js';

interface Connection<Service extends DescService> {
  readonly client: Client<Service>;
  readonly sessions: SessionManager;
}

/**
 * Connect clients of one service, with one HTTP/2 connection for each address in use.
 *
 * @example
 * const clients = new RpcClients(PeerService, timers);
 * await clients.at('10.1.0.11:7780').exchange(message);
 */
export class RpcClients<Service extends DescService> {
  private readonly connections = new Map<string, Connection<Service>>();

  public constructor(
    private readonly service: Service,
    private readonly timers: TimerService,
    private readonly checkOptions?: SessionCheckOptions,
  ) {}

  /** Returns the client of an address; its connection is opened by the first call. */
  public at(address: string): Client<Service> {
    const known = this.connections.get(address);
    if (known !== undefined) {
      return known.client;
    }
    const baseUrl = `http://${address}`;
    const sessions = new SessionManager(baseUrl, this.timers, this.checkOptions);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
    });
    const client = createClient(this.service, transport);
    this.connections.set(address, { client, sessions });
    return client;
  }

  /** Closes the connection to an address and fails its calls; the next call opens a new one. */
  public reset(address: string): void {
    this.connections.get(address)?.sessions.abort();
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
