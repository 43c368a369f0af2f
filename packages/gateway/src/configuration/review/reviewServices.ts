import type { GatewayConfiguration } from '../gatewayConfiguration.js';
import type { Finding } from './finding.js';

import { MAXIMUM_PARSED_HEADER_BYTES } from '../../util/httpLimits.js';

/**
 * Reviews the services of a configuration and its limits on callers.
 *
 * @example
 * reviewServices(configuration).map(formatFinding);
 */
export function reviewServices(configuration: GatewayConfiguration): readonly Finding[] {
  const { callerLimits, routes, services } = configuration;
  const used = new Set(routes.flatMap(route => route.services.map(({ service }) => service)));
  const unused = services
    .filter(({ name }) => !used.has(name))
    .map((service): Finding => {
      const subject = `service ${service.name}`;
      return { kind: 'unreachable', subject, text: 'no route sends requests to it' };
    });
  const narrow = services
    .filter(({ engine, maximumConnections }) => maximumConnections < (engine?.slots ?? 1))
    .map((service): Finding => {
      const text = 'each replica accepts fewer connections than it runs requests';
      return { kind: 'contradiction', subject: `service ${service.name}`, text };
    });
  const isHeaderLimitUnused = callerLimits.maximumHeaderBytes > MAXIMUM_PARSED_HEADER_BYTES;
  const limits: readonly Finding[] = isHeaderLimitUnused
    ? [
        {
          kind: 'contradiction',
          subject: 'limits',
          text: `headers above ${String(MAXIMUM_PARSED_HEADER_BYTES)} bytes are refused whatever the limit`,
        },
      ]
    : [];
  return [...unused, ...narrow, ...limits];
}
