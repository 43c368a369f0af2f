import { failureText } from '@zincring/core';

import type { GatewayMetrics } from './gatewayMetrics.js';

import { HttpEndpoint } from '../util/httpEndpoint.js';

/**
 * Serves the metrics of an instance in the Prometheus text format.
 *
 * @example
 * await new MetricsServer(metrics).listen({ host: '10.1.0.11', port: 7790 });
 */
export class MetricsServer extends HttpEndpoint {
  public constructor(metrics: GatewayMetrics) {
    super(response => {
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
