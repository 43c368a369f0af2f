import type { Server, ServerResponse } from 'node:http';

import { createServer } from 'node:http';

/** What operators and balancers may ask of an instance. */
export interface OperatorServerOptions {
  /** Whether the instance should get callers' requests. */
  readonly isReady: () => boolean;
  /** Begins a graceful shutdown. */
  readonly drain: () => void;
}

/** Health, readiness and drain on a port of their own. */
export class OperatorServer {
  private readonly server: Server;

  public constructor(private readonly options: OperatorServerOptions) {
    this.server = createServer((request, response) => {
      this.handle(`${request.method ?? ''} ${request.url ?? ''}`, response);
    });
  }

  /** Listens on an IP number and port. */
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

  private handle(target: string, response: ServerResponse): void {
    switch (target) {
      case 'GET /health':
        send(response, 200, 'alive');
        return;
      case 'GET /ready':
        send(
          response,
          this.options.isReady() ? 200 : 503,
          this.options.isReady() ? 'ready' : 'not ready',
        );
        return;
      case 'POST /drain':
        this.options.drain();
        send(response, 202, 'draining');
        return;
      default:
        send(response, 404, 'no such route');
    }
  }
}

function send(response: ServerResponse, status: number, state: string): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ state }));
}
