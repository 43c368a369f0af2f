import type { Server } from 'node:http';

import { failureText } from '@zincring/core';
import { createServer } from 'node:http';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

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
