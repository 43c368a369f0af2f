import type { AvailabilityZone, Region } from '@zincring/core';

/**
 * Combines the permitted regions of a route and of a workspace: where both have some, both bind. Returns the regions that may
 * get a request, which may be none, or `undefined` if all may.
 *
 * @example
 * combinePermittedRegions(route.permittedRegions, workspace.permittedRegions);
 */
export function combinePermittedRegions(
  routeRegions: readonly Region[] = [],
  workspaceRegions: readonly Region[] = [],
): ReadonlySet<Region> | undefined {
  if (routeRegions.length === 0 || workspaceRegions.length === 0) {
    const regions = [...routeRegions, ...workspaceRegions];
    return regions.length === 0 ? undefined : new Set(regions);
  }
  return new Set(routeRegions.filter(region => workspaceRegions.includes(region)));
}

/**
 * Whether an availability zone lies in one of the regions that may get a request. A zone whose region is not known
 * lies in none.
 *
 * @example
 * isPermittedZone(entry.availabilityZone, new Set(['west']), regions);
 */
export function isPermittedZone(
  zone: AvailabilityZone | undefined,
  permittedRegions: ReadonlySet<Region> | undefined,
  regions: ReadonlyMap<AvailabilityZone, Region>,
): boolean {
  if (permittedRegions === undefined) {
    return true;
  }
  const region = zone === undefined ? undefined : regions.get(zone);
  return region !== undefined && permittedRegions.has(region);
}
