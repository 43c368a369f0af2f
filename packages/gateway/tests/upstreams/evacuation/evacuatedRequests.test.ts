import { describe, expect, it } from 'vitest';

import type { ReplicaRequest } from '../../../src/upstreams/replicaExchange.js';
import type { DirectRelayTargetDependencies } from '../../../src/upstreams/directRelayTarget.js';

import { DirectRelayTarget } from '../../../src/upstreams/directRelayTarget.js';
import { plainHeaderCodec } from '../../support/plainHeaderCodec.js';
import { responds } from '../../support/fakeReplica.js';
import { countRuns, safeRoute, startGateway, waitUntil } from '../../support/gatewayFixture.js';
import { routeCases } from '../../support/routeCases.js';
import { evacuationAddress, sampleReplica } from '../../support/samples.js';

/** Time in which an instance that follows the store has read a change, in milliseconds. */
const SETTLED_MILLISECONDS = 200;

async function settle(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, SETTLED_MILLISECONDS));
}

describe('an evacuated availability zone', () => {
  it.each(routeCases)(
    'gets no requests on %s, and they are refused at once',
    async (_name, route, behaviour) => {
      const fixture = await startGateway(route, [[behaviour], [behaviour]]);
      fixture.store.put(evacuationAddress('nelson'), {});
      await settle();
      const response = await fixture.send({ body: 'input' });
      expect(response.status).toBe(503);
      expect(countRuns(fixture)).toBe(0);
      fixture.store.remove(evacuationAddress('nelson'));
      await settle();
      expect((await fixture.send({ body: 'input' })).status).toBe(200);
    },
  );

  it('gets no requests by an instance that starts later', async () => {
    const fixture = await startGateway(safeRoute, [[responds('done')]]);
    fixture.store.put(evacuationAddress('nelson'), {});
    const later = await fixture.startInstance();
    expect((await later.send()).status).toBe(503);
    expect(countRuns(fixture)).toBe(0);
  });

  it('is left alone by other zones', async () => {
    const fixture = await startGateway(safeRoute, [[responds('done')]]);
    fixture.store.put(evacuationAddress('kaslo'), {});
    await settle();
    expect((await fixture.send()).status).toBe(200);
    await waitUntil(() => countRuns(fixture) === 1);
  });

  it('gets no requests that an instance relays for another one, also not one that it has accepted', async () => {
    const entry = sampleReplica('r1');
    let isZoneEvacuated = false;
    const target = new DirectRelayTarget({
      directory: { listAll: () => [entry] },
      headerCodec: plainHeaderCodec,
      isStopping: () => false,
      isZoneEvacuated: () => isZoneEvacuated,
      loads: { isLeaving: () => false },
      transport: { isPathSuspect: false },
    } as unknown as DirectRelayTargetDependencies);
    expect(target.accept(entry.runId)).toMatchObject({ kind: 'accepted' });
    isZoneEvacuated = true;
    expect(target.accept(entry.runId)).toMatchObject({ kind: 'not-sent' });
    expect(await target.exchange(entry, {} as ReplicaRequest)).toMatchObject({ kind: 'not-sent' });
  });
});
