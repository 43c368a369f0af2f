import { describe, expect, it } from 'vitest';

import type { GatewayConfiguration } from '../../src/configuration/gatewayConfiguration.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';

import { responds } from '../support/fakeReplica.js';
import { countRuns, startGateway, unsafeRoute } from '../support/gatewayFixture.js';
import {
  configurationAddress,
  plainService,
  sampleConfiguration,
  sampleWorkspace,
} from '../support/samples.js';

/** Time after which instances have noticed a new configuration, in milliseconds. */
const NOTICE_MILLISECONDS = 150;

const withdrawn = { key: 'key-of-clerks' };
const unknown = { key: 'never-held' };

async function configure(
  { store }: GatewayFixture,
  version: number,
  overrides: Partial<GatewayConfiguration>,
): Promise<void> {
  const common = { routes: [unsafeRoute], services: [plainService] };
  store.put(configurationAddress, sampleConfiguration(version, { ...common, ...overrides }));
  await new Promise(resolve => setTimeout(resolve, NOTICE_MILLISECONDS));
}

/** Returns the statuses of requests with a withdrawn key, with an unknown one and without any. */
async function sendAll(fixture: GatewayFixture): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (const headers of [withdrawn, unknown, { key: '' }]) {
    statuses.push((await fixture.send({ headers })).status);
  }
  return statuses;
}

/** Guards against the withdrawal of the last key, which opened all routes to everybody. */
describe('instances whose last workspace was removed', () => {
  it('refuse all requests that need a key', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    expect((await fixture.send({ headers: withdrawn })).status).toBe(200);
    await configure(fixture, 2, { workspaces: [] });
    expect(await sendAll(fixture)).toEqual([401, 401, 401]);
    expect(countRuns(fixture)).toBe(1);
  });

  it('refuse them after a restart with the empty list', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    await configure(fixture, 2, { workspaces: [] });
    expect(await sendAll(await fixture.startInstance())).toEqual([401, 401, 401]);
    expect(countRuns(fixture)).toBe(0);
  });

  it('serve an open route', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    await configure(fixture, 2, { routes: [{ ...unsafeRoute, isOpen: true }], workspaces: [] });
    expect(await sendAll(fixture)).toEqual([200, 200, 200]);
  });
});

/** Guards against a list that is left out, which opened all routes to those whose keys it took away. */
describe('instances whose list of workspaces was left out', () => {
  it('refuse all requests that need a key, and so do those that start later', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    await configure(fixture, 2, { workspaces: undefined });
    expect(await sendAll(fixture)).toEqual([401, 401, 401]);
    expect(await sendAll(await fixture.startInstance())).toEqual([401, 401, 401]);
    expect(countRuns(fixture)).toBe(0);
  });

  it('serve an open route', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const routes = [{ ...unsafeRoute, isOpen: true }];
    await configure(fixture, 2, { routes, workspaces: undefined });
    expect(await sendAll(fixture)).toEqual([200, 200, 200]);
  });

  it('accept the keys of a later list', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    await configure(fixture, 2, { workspaces: undefined });
    await configure(fixture, 3, { workspaces: [sampleWorkspace({ keys: ['new-key'] })] });
    expect(await sendAll(fixture)).toEqual([401, 401, 401]);
    expect((await fixture.send({ headers: { key: 'new-key' } })).status).toBe(200);
  });
});
