import type { RotationWatch } from './rotationWatch.js';

import { HttpEndpoint } from '../util/httpEndpoint.js';

/**
 * Tells the balancer whether callers should be sent here; the path does not matter.
 *
 * @example
 * await new ReadinessServer(() => gateway.isReady, rotation).listen({ host: '10.1.0.11', port: 8369 });
 */
export class ReadinessServer extends HttpEndpoint {
  public constructor(isReady: () => boolean, rotation: RotationWatch) {
    super(response => {
      const answer = isReady();
      rotation.noteCheck(answer);
      response.writeHead(answer ? 200 : 503, { 'Content-Length': 0 });
      response.end();
    });
  }
}
