import type { GatewayConfiguration } from '../gatewayConfiguration.js';
import type { Finding } from './finding.js';

import { compareConfigurations } from './compareConfigurations.js';
import { reviewRoutes } from './reviewRoutes.js';
import { reviewServices } from './reviewServices.js';
import { reviewWorkspaces } from './reviewWorkspaces.js';

/**
 * Reviews a configuration before it is sent: errors, entries that can never match, limits that
 * contradict each other, and what differs from the configuration in force, if that is given.
 *
 * @example
 * reviewConfiguration(proposed, inForce).map(formatFinding);
 * // ['unreachable: route old: route summaries has the same host and path prefix and comes first']
 */
export function reviewConfiguration(
  proposed: GatewayConfiguration,
  inForce?: GatewayConfiguration,
): readonly Finding[] {
  return [
    ...findRepeatedNames('route', proposed.routes),
    ...findRepeatedNames('service', proposed.services),
    ...findRepeatedNames('workspace', proposed.workspaces ?? []),
    ...reviewRoutes(proposed),
    ...reviewServices(proposed),
    ...reviewWorkspaces(proposed),
    ...(inForce === undefined ? [] : compareConfigurations(inForce, proposed)),
  ];
}

function findRepeatedNames(
  noun: string,
  entries: readonly { readonly name: string }[],
): readonly Finding[] {
  const names = entries.map(({ name }) => name);
  const repeated = new Set(names.filter((name, index) => names.indexOf(name) !== index));
  return [...repeated].map((name): Finding => {
    return { kind: 'error', subject: `${noun} ${name}`, text: 'its name appears more than once' };
  });
}
