import type { ServiceName } from '@zincring/core';

import type {
  GatewayConfiguration,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
} from './gatewayConfiguration.js';

/**
 * Indexes one configuration for the lookups of each request.
 *
 * @example
 * const route = new ConfigurationIndex(configuration).findRoute('agents.example', '/summaries/7');
 */
export class ConfigurationIndex {
  /** Lowest priority of streams and workspaces, which is the greatest number; 0 is the highest. */
  public readonly lowestPriority: number;
  /** Routes by host, those with longer path prefixes first. */
  private readonly routesByHost = new Map<string, GatewayRoute[]>();
  private readonly workspacesByKey = new Map<string, GatewayWorkspace>();
  private readonly servicesByName = new Map<ServiceName, GatewayService>();

  public constructor(public readonly configuration: GatewayConfiguration) {
    // An empty prefix would match every path of its host.
    for (const route of configuration.routes.filter(({ pathPrefix }) => pathPrefix !== '')) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    for (const workspace of configuration.workspaces ?? []) {
      // An empty text is a key that was left out.
      for (const key of workspace.keys.filter(each => each !== '')) {
        this.workspacesByKey.set(key, workspace);
      }
    }
    this.lowestPriority = Math.max(
      0,
      ...configuration.routes.filter(({ kind }) => kind === 'streaming').map(each => each.priority),
      ...(configuration.workspaces ?? []).flatMap(({ priority }) => priority ?? []),
    );
    for (const service of configuration.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /** Finds the route of a host with the longest prefix that matches the path. */
  public findRoute(host: string, path: string): GatewayRoute | undefined {
    return this.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Whether the configuration contains a list of workspaces, also an empty one. */
  public get hasWorkspaces(): boolean {
    return this.configuration.workspaces !== undefined;
  }

  /** Finds the workspace to which a key belongs. */
  public findWorkspace(key: string): GatewayWorkspace | undefined {
    return this.workspacesByKey.get(key);
  }

  /** Finds the description of a service. */
  public findService(name: ServiceName): GatewayService | undefined {
    return this.servicesByName.get(name);
  }
}
