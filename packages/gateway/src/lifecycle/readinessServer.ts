import type { Server } from 'node:http';

import { createServer } from 'node:http';

import type { ListenAddress } from './gatewayOptions.js';
import type { RotationWatch } from './rotationWatch.js';

import { listenOn, portOf } from '../util/listen.js';

/**
 * Tells the balancer whether callers should be sent here; the path does not matter.
 *
 * @example
 * await new ReadinessServer(() => gateway.isReady, rotation).listen({ host: '10.1.0.11', port: 8369 });
 */
export class ReadinessServer {
  private readonly server: Server;

  public constructor(isReady: () => boolean, rotation: RotationWatch) {
    this.server = createServer((request, response) => {
      request.resume();
      const answer = isReady();
      rotation.noteCheck(answer);
      response.writeHead(answer ? 200 : 503, { 'Content-Length': 0 });
      response.end();
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
