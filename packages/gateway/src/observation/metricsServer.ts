import type { Server } from 'node:http';

import { failureText } from '@zincring/core';
import { createServer } from 'node:http';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

import { listenOn, portOf } from '../util/listen.js';

/**
 * Serves the metrics of an instance as text.
 *
 * @example
 * await new MetricsServer(metrics).listen({ host: '10.1.0.11', port: 7790 });
 */
export class MetricsServer {
  private readonly server: Server;

  public constructor(metrics: GatewayMetrics) {
    this.server = createServer((request, response) => {
      request.resume();
      metrics.text().then(
        text => {
          response.writeHead(200, { 'Content-Type': metrics.registry.contentType });
          response.end(text);
        },
        (failure: unknown) => {
          response.writeHead(500);
          response.end(failureText(failure));
        },
      );
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
