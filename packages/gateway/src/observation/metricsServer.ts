import { failureText } from '@zincring/core';

import type { ListenerContext } from '../listeners/httpListener.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

import { HttpEndpoint } from '../util/httpEndpoint.js';

/**
 * Serves the metrics of an instance in the Prometheus text format.
 *
 * @example
 * await new MetricsServer(metrics, context).listen({ host: '10.1.0.11', port: 7790 });
 */
export class MetricsServer extends HttpEndpoint {
  public constructor(metrics: GatewayMetrics, context: ListenerContext) {
    super('metrics', context, response => {
      metrics.render().then(
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
}
