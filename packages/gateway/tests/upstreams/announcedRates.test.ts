import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';
import type { GatewayFixture, ReceivedResponse } from '../support/gatewayFixture.js';

import { respondsWithRate } from '../support/fakeReplica.js';
import { safeRoute, startGateway, unsafeRoute } from '../support/gatewayFixture.js';
import { routeCases } from '../support/routeCases.js';

const INSTANCES = 3;
const REQUESTS_PER_INSTANCE = 10;
/** Requests that a replica at one request per second may get within four seconds, beside those before the limit was known. */
const MAXIMUM_REQUESTS = 1.5 * 4 + 5 + INSTANCES;

async function startInstances(
  route: typeof unsafeRoute,
  behaviours: readonly (readonly Behaviour[])[],
): Promise<readonly GatewayFixture[]> {
  const first = await startGateway(route, behaviours);
  const others = await Promise.all(
    Array.from({ length: INSTANCES - 1 }, async () => first.startInstance()),
  );
  return [first, ...others];
}

async function sendToAll(
  fixtures: readonly GatewayFixture[],
  requestsPerInstance: number,
): Promise<readonly ReceivedResponse[]> {
  const requests = Array.from({ length: requestsPerInstance }, (_unused, index) =>
    fixtures.map(async fixture =>
      fixture.send({ body: 'input', headers: { 'request-id': `request-${String(index)}` } }),
    ),
  );
  return await Promise.all(requests.flat());
}

describe('a replica that announces the rate it accepts', () => {
  it.each(routeCases)(
    'never gets more than that from all instances together on %s',
    async (_name, route, behaviour) => {
      const fixtures = await startInstances(route, [[respondsWithRate(1)], [behaviour]]);
      await sendToAll(fixtures, 2);
      const responses = await sendToAll(fixtures, REQUESTS_PER_INSTANCE);
      const { replicas } = fixtures[0]!;
      expect(replicas[0]!.receivedRequests.length).toBeLessThanOrEqual(MAXIMUM_REQUESTS);
      expect(responses.every(({ status }) => status === 200)).toBe(true);
    },
  );

  it('never gets more than that when it is the only one, and other requests are refused at once', async () => {
    const fixtures = await startInstances(unsafeRoute, [[respondsWithRate(1)]]);
    await sendToAll(fixtures, 1);
    const startedAt = performance.now();
    const responses = await sendToAll(fixtures, REQUESTS_PER_INSTANCE);
    expect(performance.now() - startedAt).toBeLessThan(2_000);
    expect(fixtures[0]!.replicas[0]!.receivedRequests.length).toBeLessThanOrEqual(MAXIMUM_REQUESTS);
    const refused = responses.filter(({ status }) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    for (const { headers } of refused) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    }
  });

  it('never gets more than that when its registration lapses and returns', async () => {
    const slow = respondsWithRate(1, '200 OK', 100);
    const fixtures = await startInstances(unsafeRoute, [[slow]]);
    await sendToAll(fixtures, 1);
    const [first] = fixtures;
    await first!.lapseReplica(0);
    const { receivedRequests } = first!.replicas[0]!;
    const receivedBefore = receivedRequests.length;
    await sendToAll(fixtures, REQUESTS_PER_INSTANCE);
    expect(receivedRequests.length - receivedBefore).toBeLessThanOrEqual(MAXIMUM_REQUESTS);
  });

  it.each(['500 Failed', '404 Not Found'])(
    'never gets more than that when it announces the rate with the status %s',
    async status => {
      const fixtures = await startInstances(safeRoute, [[respondsWithRate(1, status)]]);
      await sendToAll(fixtures, 1);
      await sendToAll(fixtures, REQUESTS_PER_INSTANCE);
      const { replicas } = fixtures[0]!;
      expect(replicas[0]!.receivedRequests.length).toBeLessThanOrEqual(MAXIMUM_REQUESTS);
    },
  );
});
