import type { AvailabilityZone, Region } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import {
  combinePermittedRegions,
  isPermittedZone,
} from '../../../src/upstreams/regions/permittedRegions.js';
import { responds } from '../../support/fakeReplica.js';
import { safeRoute, startGateway } from '../../support/gatewayFixture.js';
import { routeCases } from '../../support/routeCases.js';

const [east, north, west] = ['east', 'north', 'west'] as readonly string[] as [
  Region,
  Region,
  Region,
];

describe(combinePermittedRegions, () => {
  it.each([
    [undefined, undefined, undefined],
    [[], [], undefined],
    [[west], [], [west]],
    [undefined, [east, west], [east, west]],
    [[west, north], [east, west], [west]],
    [[west], [east], []],
  ])('of a route with %j and a workspace with %j are %j', (route, workspace, combined) => {
    const regions = combinePermittedRegions(route, workspace);
    expect(regions === undefined ? undefined : [...regions]).toEqual(combined);
  });

  it.each<[string | undefined, readonly Region[] | undefined, boolean]>([
    ['nelson', undefined, true],
    [undefined, undefined, true],
    ['nelson', [west], true],
    ['banff', [west], false],
    ['nelson', [], false],
    ['unknown', [west], false],
    [undefined, [west], false],
  ])('decide whether the zone %j lies in %j: %s', (zone, allowed, expected) => {
    const regions = new Map([
      ['nelson', west],
      ['banff', east],
    ]) as ReadonlyMap<string, Region> as ReadonlyMap<AvailabilityZone, Region>;
    const permittedRegions = allowed === undefined ? undefined : new Set(allowed);
    expect(isPermittedZone(zone as AvailabilityZone | undefined, permittedRegions, regions)).toBe(
      expected,
    );
  });
});

describe('requests of permitted regions', () => {
  it.each(routeCases)('reach replicas there only on %s', async (_name, route, behaviour) => {
    const fixture = await startGateway(
      { ...route, permittedRegions: [east] },
      [[behaviour], [behaviour]],
      {
        availabilityZones: ['nelson', 'banff'],
      },
    );
    for (let request = 0; request < 8; request++) {
      expect((await fixture.send({ body: 'input' })).status).toBe(200);
    }
    expect(fixture.replicas.map(each => each.receivedRequests.length)).toEqual([0, 8]);
  });

  it.each([
    ['no replica is there', [north], []],
    ['those of the route and of the workspace differ', [east], [west]],
  ])('are refused at once if %s', async (_name, permittedRegions, workspaceRegions) => {
    const [, , behaviour] = routeCases[1]!;
    const fixture = await startGateway(
      { ...safeRoute, permittedRegions },
      [[behaviour], [behaviour]],
      {
        availabilityZones: ['nelson', 'banff'],
        workspaceRegions,
      },
    );
    expect((await fixture.send()).status).toBe(503);
    expect(fixture.replicas.every(each => each.receivedRequests.length === 0)).toBe(true);
  });

  it('are not tried again elsewhere', async () => {
    const failing = responds('failed', '500 Failed');
    const fixture = await startGateway(
      { ...safeRoute, permittedRegions: [west], maximumAttempts: 3 },
      [[failing], [failing], [failing]],
      { availabilityZones: ['nelson', 'banff', 'kaslo'] },
    );
    await fixture.send();
    expect(fixture.replicas[1]!.receivedRequests).toHaveLength(0);
  });
});
