import type { ServerResponse } from 'node:http';

import type { ListenAddress } from '../lifecycle/gatewayOptions.js';
import type { ListenerContext } from '../listeners/httpListener.js';
import type { ConnectionLimits } from '../listeners/listenerLimits.js';

import { HttpListener } from '../listeners/httpListener.js';
import { hasBody } from '../listeners/requestBody.js';

/** Time in which a request must arrive and its response be read, in milliseconds: the load balancer gives up sooner. */
const TIMEOUT_MILLISECONDS = 5_000;

/**
 * HTTP server that responds to every request in the same way, regardless of its path. A request with a
 * body is the last one of its connection.
 *
 * @example
 * const endpoint = new HttpEndpoint('readiness', context, response => response.end('alive'));
 * await endpoint.listen({ host: '127.0.0.1', port: 0 });
 */
export class HttpEndpoint {
  private readonly listener: HttpListener;

  public constructor(
    name: keyof ConnectionLimits,
    context: ListenerContext,
    respond: (response: ServerResponse) => void,
  ) {
    this.listener = new HttpListener(
      { headMilliseconds: TIMEOUT_MILLISECONDS, name, silenceMilliseconds: TIMEOUT_MILLISECONDS },
      context,
      (request, response) => {
        request.resume();
        request.on('error', () => undefined);
        if (hasBody(request)) {
          response.setHeader('Connection', 'close');
        }
        respond(response);
      },
    );
  }

  /** Starts to listen; port 0 selects any free port. */
  public async listen(address: ListenAddress): Promise<void> {
    await this.listener.listen(address);
  }

  /** Port on which the server listens. */
  public get port(): number {
    return this.listener.port;
  }

  /** Closes the server and its connections immediately. */
  public close(): void {
    this.listener.close();
  }
}
