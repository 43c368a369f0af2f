import { describe, expect, it } from 'vitest';

import type { GatewayFixture, ReceivedResponse } from '../../support/gatewayFixture.js';

import { inOrder, neverResponds, streamsEvents } from '../../support/fakeReplica.js';
import { countRuns, startGateway, waitUntil } from '../../support/gatewayFixture.js';
import { engineService, sampleRoute } from '../../support/samples.js';

const SLOTS = 4;
/** Turns in flight above which programs of the route's priority do not start. */
const BUSY_TURNS = 5;
const route = sampleRoute({ timeoutMilliseconds: 1_500 });

/** Sends a turn as callers do: the prompt has two parts at every turn of a program. */
async function sendTurn(
  fixture: GatewayFixture,
  program: string,
  id: string,
): Promise<ReceivedResponse> {
  return await fixture.send({
    headers: { most: '10', program, 'request-id': id, 'token-budget': '200' },
  });
}

async function startBusyGateway(): Promise<GatewayFixture> {
  const first = streamsEvents([1], 'whole');
  const hanging = Array.from({ length: BUSY_TURNS }, () => neverResponds);
  const fixture = await startGateway(route, [[inOrder(first, ...hanging, first)]], {
    replicaService: { name: engineService.name, slots: SLOTS },
  });
  expect((await sendTurn(fixture, 'earlier', 'turn-1')).status).toBe(200);
  for (let turn = 0; turn < BUSY_TURNS; turn++) {
    void sendTurn(fixture, `hanging-${String(turn)}`, `hanging-${String(turn)}`);
    await waitUntil(() => countRuns(fixture) === turn + 2);
  }
  return fixture;
}

describe('a gateway whose engines are busy', () => {
  it('refuses each attempt to start a program at once, without running it', async () => {
    const fixture = await startBusyGateway();
    for (const id of ['first', 'second', 'third']) {
      const response = await sendTurn(fixture, 'new', id);
      expect(response.status).toBe(503);
      expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
    }
    expect(countRuns(fixture)).toBe(1 + BUSY_TURNS);
  });

  it('never refuses a later turn, whose prompt has as many parts as the first', async () => {
    const fixture = await startBusyGateway();
    expect((await sendTurn(fixture, 'earlier', 'turn-2')).status).toBe(200);
  });

  it('starts programs again when turns have ended, with their whole budget', async () => {
    const fixture = await startBusyGateway();
    expect((await sendTurn(fixture, 'new', 'first')).status).toBe(503);
    await new Promise(resolve => setTimeout(resolve, route.timeoutMilliseconds));
    for (let turn = 0; turn < 3; turn++) {
      expect((await sendTurn(fixture, 'new', `again-${String(turn)}`)).status).toBe(200);
    }
  });
});
