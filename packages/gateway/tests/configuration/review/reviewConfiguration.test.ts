import type { ServiceName, WorkspaceName } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import type {
  GatewayConfiguration,
  RouteName,
} from '../../../src/configuration/gatewayConfiguration.js';

import { formatFinding } from '../../../src/configuration/review/finding.js';
import { reviewConfiguration } from '../../../src/configuration/review/reviewConfiguration.js';
import {
  engineService,
  plainService,
  sampleConfiguration,
  sampleRoute,
  sampleWorkspace,
} from '../../support/samples.js';

const soundRoute = sampleRoute({ isResumable: true });
const sound: Partial<GatewayConfiguration> = { routes: [soundRoute], services: [engineService] };

function review(
  overrides: Partial<GatewayConfiguration>,
  inForce?: GatewayConfiguration,
): readonly string[] {
  return reviewConfiguration(sampleConfiguration(7, { ...sound, ...overrides }), inForce).map(
    formatFinding,
  );
}

function reviewRoute(overrides: Parameters<typeof sampleRoute>[0]): readonly string[] {
  return review({ routes: [sampleRoute({ isResumable: true, ...overrides })] });
}

describe(reviewConfiguration, () => {
  it('finds nothing wrong with a sound configuration', () => {
    expect(review({})).toEqual([]);
  });

  it('finds nothing wrong with routes that need no key since there is no list of workspaces', () => {
    expect(review({ workspaces: undefined })).toEqual([]);
  });

  it.each([
    { expected: /^error: .*slash/, route: { pathPrefix: '/summaries' } },
    {
      expected: /^error: .*not in the configuration/,
      route: {
        services: [
          { service: engineService.name, weight: 1 },
          { service: 'gone' as ServiceName, weight: 1 },
        ],
      },
    },
    {
      expected: /^error: .*weight above 0/,
      route: { services: [{ service: engineService.name, weight: 0 }] },
    },
    {
      expected: /^error: .*timeout is not/,
      route: { targetMilliseconds: 0, timeoutMilliseconds: 0 },
    },
    {
      expected: /^unreachable: .*no weight/,
      route: {
        services: [
          { service: engineService.name, weight: 1 },
          { service: engineService.name, weight: 0 },
        ],
      },
    },
    { expected: /^contradiction: .*latency target/, route: { targetMilliseconds: 9_000 } },
    { expected: /^contradiction: .*at most once/, route: { isResumable: false } },
    {
      expected: /^contradiction: .*resumable, but not/,
      route: { kind: 'safe' as const, maximumAttempts: 1 },
    },
    {
      expected: /^contradiction: .*stores turns, but/,
      route: { isResumable: false, kind: 'safe' as const, storesTurns: true },
    },
    {
      expected: /^contradiction: .*callers cannot have a stream taken up in the middle/,
      route: { storesTurns: true },
    },
    {
      expected: /^contradiction: .*keeps turns for less/,
      route: {
        isResumable: false,
        maximumAttempts: 1,
        retentionMilliseconds: 1_000,
        storesTurns: true,
      },
    },
  ])('finds one fault of a route: $expected', ({ expected, route }) => {
    const findings = reviewRoute(route);
    expect(findings).toHaveLength(1);
    expect(findings[0]).toMatch(expected);
  });

  it.each([
    {
      expected: /^unreachable: route later: route summaries/,
      overrides: { routes: [soundRoute, { ...soundRoute, name: 'later' as RouteName }] },
    },
    {
      expected: /^error: route summaries: its name/,
      overrides: { routes: [soundRoute, { ...soundRoute, pathPrefix: '/other/' }] },
    },
    {
      expected: /^unreachable: service tickets/,
      overrides: { services: [engineService, plainService] },
    },
    {
      expected: /^contradiction: service engines: each replica/,
      overrides: { services: [{ ...engineService, maximumConnections: 3 }] },
    },
    {
      expected: /^contradiction: workspace clerks: it has a rate/,
      overrides: { workspaces: [sampleWorkspace({ burst: 0 })] },
    },
    {
      expected: /^contradiction: workspace clerks: it has a burst/,
      overrides: { workspaces: [sampleWorkspace({ ratePerSecond: 0 })] },
    },
    {
      expected: /^error: workspace clerks: one of its keys is empty/,
      overrides: { workspaces: [sampleWorkspace({ keys: ['key-of-clerks', ''] })] },
    },
    {
      expected: /^error: workspace crews: it has a key that workspace clerks/,
      overrides: {
        workspaces: [sampleWorkspace(), sampleWorkspace({ name: 'crews' as WorkspaceName })],
      },
    },
  ])('finds one fault: $expected', ({ expected, overrides }) => {
    const findings = review(overrides);
    expect(findings).toHaveLength(1);
    expect(findings[0]).toMatch(expected);
  });

  it('finds that no request can reach a route that needs a key while the list is empty', () => {
    expect(review({ workspaces: [] })).toEqual([
      'unreachable: route summaries: it needs a key, and no workspace has one',
    ]);
  });

  it('finds nothing wrong with an open route while the list is empty', () => {
    expect(review({ routes: [{ ...soundRoute, isOpen: true }], workspaces: [] })).toEqual([]);
  });

  it('tells the removal of the list of workspaces from that of all its entries', () => {
    const inForce = sampleConfiguration(6, sound);
    expect(review({ workspaces: undefined }, inForce)).toEqual([
      'change: workspaces: the list is removed: no key is accepted, and routes that are not open get no requests',
      'change: workspace clerks: is removed',
    ]);
    expect(review({ workspaces: [] }, inForce)).toEqual([
      'unreachable: route summaries: it needs a key, and no workspace has one',
      'change: workspace clerks: is removed',
    ]);
    expect(review({ workspaces: [] }, { ...inForce, workspaces: undefined })).toEqual([
      'unreachable: route summaries: it needs a key, and no workspace has one',
      'change: workspaces: the list is added',
    ]);
  });

  it('finds that no request can reach a route that needs a key while there is none', () => {
    expect(review({ workspaces: [sampleWorkspace({ keys: [] })] })).toEqual([
      'unreachable: route summaries: it needs a key, and no workspace has one',
      'unreachable: workspace clerks: it has no key, so no request belongs to it',
    ]);
  });

  it('lists what differs from the configuration in force, without any key', () => {
    const inForce = sampleConfiguration(6, {
      ...sound,
      routes: [soundRoute, sampleRoute({ name: 'old' as RouteName, pathPrefix: '/old/' })],
      workspaces: [sampleWorkspace({ keys: ['key-of-clerks', 'withdrawn-key'] })],
    });
    const findings = review({ routes: [{ ...soundRoute, timeoutMilliseconds: 4_000 }] }, inForce);
    expect(findings).toEqual([
      'change: route old: is removed',
      'change: route summaries: timeoutMilliseconds changes from 3000 to 4000',
      'change: workspace clerks: 0 keys are added, 1 withdrawn',
    ]);
    expect(findings.join()).not.toContain('withdrawn-key');
  });

  it('finds that instances would ignore a version that is not above the one in force', () => {
    expect(review({}, sampleConfiguration(7, sound))).toEqual([
      'error: version: 7 is not above 7, which is in force; instances ignore it',
    ]);
  });
});
