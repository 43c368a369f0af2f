import type { Region, Result, ServiceName } from '@zincring/core';

import { Err, hash32, Ok, ZincringError } from '@zincring/core';

import type { ConfigurationIndex } from '../configuration/configurationIndex.js';
import type {
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
} from '../configuration/gatewayConfiguration.js';
import type { RequestFacts } from './requestFacts.js';

import { combinePermittedRegions } from '../upstreams/regions/permittedRegions.js';

/** Properties of a request that its admission follows from. */
export interface AdmittedRequest {
  readonly facts: RequestFacts;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
}

/** Route, service and workspace of an admitted request. */
export interface Admission {
  /** Configuration that admitted the request. */
  readonly index: ConfigurationIndex;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly workspace: GatewayWorkspace | undefined;
  /** Regions whose replicas may get the request; `undefined` if all may. */
  readonly permittedRegions: ReadonlySet<Region> | undefined;
  /** Lowest priority that the configuration uses. */
  readonly lowestPriority: number;
}

/** What is known of the configurations before the one in force. */
export interface EarlierConfigurations {
  /** Whether any of them contained a list of workspaces; counts as `true` while it is not known. */
  readonly hadWorkspaces: boolean | undefined;
}

/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Finds the route, the service and the workspace of a request, or why the configuration refuses it.
 *
 * @example
 * const admission = admitByConfiguration(index, incoming, follower.workspaceHistory);
 */
export function admitByConfiguration(
  index: ConfigurationIndex,
  { facts, host, path }: AdmittedRequest,
  { hadWorkspaces }: EarlierConfigurations,
): Result<Admission, ZincringError> {
  const route = index.findRoute(host, path);
  if (route === undefined) {
    return Err(new ZincringError('not-found'));
  }
  const workspace = facts.key === undefined ? undefined : index.findWorkspace(facts.key);
  const needsKey = !route.isOpen && (index.hasWorkspaces || hadWorkspaces !== false);
  if (needsKey && workspace === undefined) {
    return Err(new ZincringError(facts.key === undefined ? 'key-missing' : 'key-rejected'));
  }
  if (facts.requestId === undefined) {
    return Err(new ZincringError('bad-request', { detail: 'the request has no id' }));
  }
  const picked = pickService(route, facts);
  const service = picked === undefined ? undefined : index.findService(picked);
  if (service === undefined) {
    const detail =
      picked === undefined
        ? 'the route sends requests to no service'
        : 'the service is not described';
    return Err(new ZincringError('upstream-unavailable', { detail }));
  }
  return Ok({
    index,
    permittedRegions: combinePermittedRegions(route.permittedRegions, workspace?.permittedRegions),
    lowestPriority: index.lowestPriority,
    route,
    service,
    workspace: route.isOpen ? undefined : workspace,
  });
}

/**
 * Distributes requests over the services of a route by weight; all requests of a session use one service. Returns
 * `undefined` if none has a weight above 0.
 */
function pickService(route: GatewayRoute, facts: RequestFacts): ServiceName | undefined {
  const weighted = route.services.filter(({ weight }) => weight > 0);
  const totalWeight = weighted.reduce((sum, { weight }) => sum + weight, 0);
  const point = (hash32(facts.sessionId ?? facts.requestId ?? '') / HASH_RANGE) * totalWeight;
  let cumulativeWeight = 0;
  for (const { service, weight } of weighted) {
    cumulativeWeight += weight;
    if (point < cumulativeWeight) {
      return service;
    }
  }
  return weighted.at(-1)?.service;
}

/**
 * Returns the priority that the operator gave to a request: that of its workspace, or else of its route.
 *
 * @example
 * findPriority(admission); // 0 is the highest
 */
export function findPriority({ route, workspace }: Admission): number {
  return workspace?.priority ?? route.priority;
}
