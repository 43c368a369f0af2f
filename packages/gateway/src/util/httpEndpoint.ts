import type { Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';

import { listenOn, portOf } from './listen.js';

/**
 * A server that answers every request alike, whatever its path.
 *
 * @example
 * await new HttpEndpoint(response => response.end('alive')).listen({ host: '127.0.0.1', port: 0 });
 */
export class HttpEndpoint {
  private readonly server: Server;

  public constructor(answer: (response: ServerResponse) => void) {
    this.server = createServer((request, response) => {
      request.resume();
      answer(response);
    });
  }

  /** Listens; the port 0 takes any. */
  public async listen(address: ListenAddress): Promise<void> {
    await listenOn(this.server, address);
  }

  /** The port that the server listens on. */
  public get port(): number {
    return portOf(this.server);
  }

  /** Closes at once. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
