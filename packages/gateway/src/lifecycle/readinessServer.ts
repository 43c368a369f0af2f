import type { ListenerContext } from '../listeners/httpListener.js';
import type { ZoneOutageDetector } from './zoneOutageDetector.js';

import { HttpEndpoint } from '../util/httpEndpoint.js';

/**
 * HTTP server for the readiness checks of the load balancer; it responds alike on every path.
 *
 * @example
 * await new ReadinessServer(() => gateway.isReady, detector, context).listen({ host: '10.1.0.11', port: 8369 });
 */
export class ReadinessServer extends HttpEndpoint {
  public constructor(
    isReady: () => boolean,
    zoneOutageDetector: ZoneOutageDetector,
    context: ListenerContext,
  ) {
    super('readiness', context, response => {
      const isCurrentlyReady = isReady();
      zoneOutageDetector.recordReadinessCheck(isCurrentlyReady);
      response.writeHead(isCurrentlyReady ? 200 : 503, { 'Content-Length': 0 });
      response.end();
    });
  }
}
