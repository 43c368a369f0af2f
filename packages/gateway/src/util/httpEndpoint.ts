import type { Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';

import { listenOn, getPort } from './listen.js';

/**
 * HTTP server that responds to every request in the same way, regardless of its path.
 *
 * @example
 * await new HttpEndpoint(response => response.end('alive')).listen({ host: '127.0.0.1', port: 0 });
 */
export class HttpEndpoint {
  private readonly server: Server;

  public constructor(respond: (response: ServerResponse) => void) {
    this.server = createServer((request, response) => {
      request.resume();
      respond(response);
    });
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await listenOn(this.server, address);
  }

  /** Port on which the server listens. */
  public get port(): number {
    return getPort(this.server);
  }

  /** Closes the server and its connections immediately. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
