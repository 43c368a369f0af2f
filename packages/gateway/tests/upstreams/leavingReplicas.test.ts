import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { announcesLeaving, responds } from '../support/fakeReplica.js';
import { safeRoute, startGateway } from '../support/gatewayFixture.js';
import { routeCases } from '../support/routeCases.js';

describe('a replica that announces that it is about to leave', () => {
  it.each(routeCases)('gets no further requests on %s', async (_name, route, behaviour) => {
    const fixture = await startGateway(route, [[announcesLeaving()], [behaviour]]);
    const [leaving] = fixture.replicas;
    while (leaving!.receivedRequests.length === 0) {
      await Promise.all([fixture.send({ body: 'input' }), fixture.send({ body: 'input' })]);
    }
    const receivedBefore = leaving!.receivedRequests.length;
    for (let request = 0; request < 10; request++) {
      expect((await fixture.send({ body: 'input' })).status).toBe(200);
    }
    expect(leaving!.receivedRequests).toHaveLength(receivedBefore);
  });

  it.each<[string, Behaviour]>([
    ['a failure', announcesLeaving('500 Failed')],
    ['a refusal', announcesLeaving('503 Leaving', ['Not-Executed: 1'])],
  ])('gets no further requests after %s', async (_name, behaviour) => {
    const fixture = await startGateway(safeRoute, [[behaviour]]);
    await fixture.send();
    expect((await fixture.send()).status).toBe(503);
    expect(fixture.replicas[0]!.receivedRequests).toHaveLength(1);
  });

  it('gets no further requests when its registration lapses and returns', async () => {
    const fixture = await startGateway(safeRoute, [[announcesLeaving()]]);
    await fixture.send();
    await fixture.lapseReplica(0);
    expect((await fixture.send()).status).toBe(503);
    expect(fixture.replicas[0]!.receivedRequests).toHaveLength(1);
  });

  it('is not taken for the one that has taken over its address', async () => {
    const misdirected = announcesLeaving('421 Misdirected');
    const fixture = await startGateway(safeRoute, [[misdirected, responds('done')]]);
    await fixture.send();
    expect((await fixture.send()).status).toBe(200);
  });
});
