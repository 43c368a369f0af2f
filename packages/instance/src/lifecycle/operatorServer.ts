import type { Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

/** Options of an {@link OperatorServer}. */
export interface OperatorServerOptions {
  /** Whether load balancers should send callers' requests to the instance. */
  readonly isReady: () => boolean;
  /** Starts a graceful shutdown. */
  readonly drain: () => void;
}

/**
 * HTTP server for operators and load balancers: health, readiness and drain, on a separate port.
 */
export class OperatorServer {
  private readonly server: Server;

  public constructor(private readonly options: OperatorServerOptions) {
    this.server = createServer((request, response) => {
      this.handle(`${request.method ?? ''} ${request.url ?? ''}`, response);
    });
  }

  /** Listens on an IP address and port. */
  public async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening. */
  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(methodAndTarget: string, response: ServerResponse): void {
    switch (methodAndTarget) {
      case 'GET /health':
        sendState(response, 200, 'alive');
        return;
      case 'GET /ready':
        sendState(
          response,
          this.options.isReady() ? 200 : 503,
          this.options.isReady() ? 'ready' : 'not ready',
        );
        return;
      case 'POST /drain':
        this.options.drain();
        sendState(response, 202, 'draining');
        return;
      default:
        sendState(response, 404, 'no such route');
    }
  }
}

function sendState(response: ServerResponse, status: number, state: string): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ state }));
}
