import type { GatewayConfiguration, GatewayRoute } from '../gatewayConfiguration.js';
import type { Finding, FindingKind } from './finding.js';

/** One property that a route should not have. */
interface RouteCheck {
  readonly kind: FindingKind;
  readonly text: string;
  matches(route: GatewayRoute, configuration: GatewayConfiguration): boolean;
}

const routeChecks: readonly RouteCheck[] = [
  {
    kind: 'error',
    matches: ({ pathPrefix }) => !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'),
    text: 'its path prefix does not begin and end with a slash',
  },
  {
    kind: 'error',
    matches: ({ services }, configuration) =>
      services.some(({ service }) => configuration.services.every(({ name }) => name !== service)),
    text: 'it sends requests to a service that is not in the configuration',
  },
  {
    kind: 'error',
    matches: ({ services }) => services.every(({ weight }) => weight <= 0),
    text: 'none of its services has a weight above 0',
  },
  {
    kind: 'error',
    matches: ({ timeoutMilliseconds }) => timeoutMilliseconds <= 0,
    text: 'its timeout is not above 0',
  },
  {
    kind: 'unreachable',
    matches: ({ services }) =>
      services.some(({ weight }) => weight > 0) && services.some(({ weight }) => weight <= 0),
    text: 'one of its services has no weight and gets no requests',
  },
  {
    kind: 'unreachable',
    matches: ({ isOpen }, { workspaces }) =>
      !isOpen && workspaces?.every(({ keys }) => keys.every(key => key === '')) === true,
    text: 'it needs a key, and no workspace has one',
  },
  {
    kind: 'contradiction',
    matches: ({ targetMilliseconds, timeoutMilliseconds }) =>
      targetMilliseconds > timeoutMilliseconds,
    text: 'its latency target is longer than its timeout',
  },
  {
    kind: 'contradiction',
    matches: ({ isResumable, kind, maximumAttempts }) =>
      maximumAttempts > 1 && (kind === 'unsafe' || (kind === 'streaming' && !isResumable)),
    text: 'it allows several attempts, but its requests run at most once',
  },
  {
    kind: 'contradiction',
    matches: ({ isResumable, kind }) => isResumable && kind !== 'streaming',
    text: 'it is resumable, but not a streaming route',
  },
  {
    kind: 'contradiction',
    matches: ({ kind, storesTurns }) => storesTurns && kind !== 'streaming',
    text: 'it stores turns, but is not a streaming route',
  },
  {
    kind: 'contradiction',
    matches: ({ isResumable, storesTurns }) => isResumable && storesTurns,
    text: 'it stores turns, so that callers cannot have a stream taken up in the middle although it is resumable',
  },
  {
    kind: 'contradiction',
    matches: ({ retentionMilliseconds, storesTurns, timeoutMilliseconds }) =>
      storesTurns && retentionMilliseconds < timeoutMilliseconds,
    text: 'it keeps turns for less than the time that one may take',
  },
];

/**
 * Reviews the routes of a configuration.
 *
 * @example
 * reviewRoutes(configuration).map(formatFinding);
 */
export function reviewRoutes(configuration: GatewayConfiguration): readonly Finding[] {
  return [
    ...configuration.routes.flatMap(route =>
      routeChecks
        .filter(check => check.matches(route, configuration))
        .map(({ kind, text }): Finding => ({ kind, subject: `route ${route.name}`, text })),
    ),
    ...findShadowedRoutes(configuration.routes),
  ];
}

/** Finds routes whose requests all go to an earlier route of the same host and prefix. */
function findShadowedRoutes(routes: readonly GatewayRoute[]): readonly Finding[] {
  const firstRoutes = new Map<string, GatewayRoute>();
  return routes.flatMap((route): readonly Finding[] => {
    const pattern = `${route.host}\n${route.pathPrefix}`;
    const first = firstRoutes.get(pattern);
    if (first === undefined) {
      firstRoutes.set(pattern, route);
      return [];
    }
    const text = `route ${first.name} has the same host and path prefix and comes first`;
    return [{ kind: 'unreachable', subject: `route ${route.name}`, text }];
  });
}
