import type { AvailabilityZone, Region } from '@zincring/core';

/**
 * Combines the homes of a route and of a workspace: where both have some, both bind. Returns the regions that may
 * get a request, which may be none, or `undefined` if all may.
 *
 * @example
 * combineHomes(route.homes, workspace.homes);
 */
export function combineHomes(
  routeHomes: readonly Region[] = [],
  workspaceHomes: readonly Region[] = [],
): ReadonlySet<Region> | undefined {
  if (routeHomes.length === 0 || workspaceHomes.length === 0) {
    const homes = [...routeHomes, ...workspaceHomes];
    return homes.length === 0 ? undefined : new Set(homes);
  }
  return new Set(routeHomes.filter(region => workspaceHomes.includes(region)));
}

/**
 * Whether an availability zone lies in one of the regions that may get a request. A zone whose region is not known
 * lies in none.
 *
 * @example
 * isAtHome(entry.availabilityZone, new Set(['west']), regions);
 */
export function isAtHome(
  zone: AvailabilityZone | undefined,
  allowedRegions: ReadonlySet<Region> | undefined,
  regions: ReadonlyMap<AvailabilityZone, Region>,
): boolean {
  if (allowedRegions === undefined) {
    return true;
  }
  const region = zone === undefined ? undefined : regions.get(zone);
  return region !== undefined && allowedRegions.has(region);
}
