import { describe, expect, it } from 'vitest';

import type { RequestId } from '../../src/callers/requestFacts.js';
import type { ServiceName } from '@zincring/core';

import { admitByConfiguration } from '../../src/callers/admitByConfiguration.js';
import { ConfigurationIndex } from '../../src/configuration/configurationIndex.js';
import { sampleConfiguration, sampleFacts, sampleRoute } from '../support/samples.js';

const REQUESTS = 200;

/** Counts the requests by the service that they go to, or by the error that they get. */
function countServices(weights: readonly number[]): Readonly<Record<string, number>> {
  const names = ['engines', 'tickets'] as ServiceName[];
  const services = weights.map((weight, index) => ({ service: names[index]!, weight }));
  const routes = [sampleRoute({ services })];
  const index = new ConfigurationIndex(sampleConfiguration(1, { routes }));
  const counts: Record<string, number> = {};
  for (let request = 0; request < REQUESTS; request++) {
    const facts = sampleFacts({ requestId: `request-${String(request)}` as RequestId });
    const incoming = { facts, host: 'agents.example', path: '/summaries/7' };
    const admission = admitByConfiguration(index, incoming, { hadWorkspaces: true });
    const outcome = admission.ok ? admission.val.service.name : admission.val.kind;
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}

/** Guards against weights of 0 that send requests to the last service of their route all the same. */
describe('services of a route, by their weights', () => {
  it.each([[[0, 0]], [[0]], [[]], [[-1, 0]], [[-1, -2]]])('get no requests (%j)', weights => {
    expect(countServices(weights)).toEqual({ 'upstream-unavailable': REQUESTS });
  });

  it.each([
    [[1, 0], 'engines'],
    [[0, 1], 'tickets'],
    [[-1, 0.001], 'tickets'],
    [[2, -1], 'engines'],
  ])('get none beside one with a weight above 0 (%j)', (weights, service) => {
    expect(countServices(weights)).toEqual({ [service]: REQUESTS });
  });

  it('get requests in proportion', () => {
    const { engines = 0, tickets = 0 } = countServices([3, 1]);
    expect(engines + tickets).toBe(REQUESTS);
    expect(engines / REQUESTS).toBeGreaterThan(0.6);
    expect(engines / REQUESTS).toBeLessThan(0.9);
  });
});
