import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../../support/fakeReplica.js';

import { responds, streamsEvents } from '../../support/fakeReplica.js';
import { safeRoute, startGateway, streamRoute } from '../../support/gatewayFixture.js';
import { makeRandom } from '../../support/makeRandom.js';

const REQUESTS = 60;

/** Handles each request some time after it has arrived. */
function after(milliseconds: number, behaviour: Behaviour): Behaviour {
  return (socket, request) => {
    setTimeout(() => {
      behaviour(socket, request);
    }, milliseconds);
  };
}

describe('a gateway with a replica that is slower than its entry says', () => {
  it.each([
    ['calls', safeRoute, responds('ok')],
    ['streams', streamRoute, streamsEvents([1], 'whole')],
  ])('sends it few %s, one after the other', async (_name, route, behaviour) => {
    const behaviours = [after(150, behaviour), after(5, behaviour), after(5, behaviour)];
    const fixture = await startGateway(
      route,
      behaviours.map(each => [each]),
      { random: makeRandom(1) },
    );
    for (let request = 0; request < REQUESTS; request++) {
      const headers = { 'request-id': `request-${String(request)}` };
      expect((await fixture.send({ headers })).status).toBe(200);
    }
    const [slow = 0, ...others] = fixture.replicas.map(each => each.receivedRequests.length);
    expect(slow).toBeGreaterThan(0);
    expect(slow).toBeLessThan(REQUESTS / 5);
    others.forEach(count => {
      expect(count).toBeGreaterThan(REQUESTS / 5);
    });
  });
});
