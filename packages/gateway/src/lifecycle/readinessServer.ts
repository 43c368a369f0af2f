import type { Server } from 'node:http';

import { createServer } from 'node:http';

import type { ListenAddress } from './gatewayOptions.js';

/**
 * Tells the balancer whether callers should be sent here; the path does not matter.
 *
 * @example
 * await new ReadinessServer(() => gateway.isReady).listen({ host: '10.1.0.11', port: 8369 });
 */
export class ReadinessServer {
  private readonly server: Server;

  public constructor(isReady: () => boolean) {
    this.server = createServer((request, response) => {
      request.resume();
      response.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 });
      response.end();
    });
  }

  /** Listens; the port 0 takes any. */
  public async listen({ host, port }: ListenAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port }, resolve);
    });
  }

  /** The port that the server listens on. */
  public get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Closes at once. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
