import { once } from 'node:events';
import { request as startRequest } from 'node:http';
import { describe, expect, it } from 'vitest';

import type { WorkspaceName } from '@zincring/core';
import type { IncomingMessage } from 'node:http';

import type { GatewayConfiguration } from '../../src/configuration/gatewayConfiguration.js';
import type { Behaviour } from '../support/fakeReplica.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';

import { responds, respondsWithHeaders, streamsEvents } from '../support/fakeReplica.js';
import { countRuns, resumableRoute, startGateway, unsafeRoute } from '../support/gatewayFixture.js';
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

/** Sends the head of a request and a part of its body, changes the configuration, and then sends the rest. */
async function sendAroundChange(
  fixture: GatewayFixture,
  overrides: Partial<GatewayConfiguration>,
): Promise<number> {
  const outgoing = startRequest({
    agent: false,
    headers: {
      'content-length': '4',
      host: 'agents.example',
      key: 'key-of-clerks',
      'request-id': 'request-1',
    },
    host: '127.0.0.1',
    method: 'POST',
    path: '/summaries/7',
    port: fixture.gateway.ports.callers,
  });
  const responded = once(outgoing, 'response') as Promise<[IncomingMessage]>;
  outgoing.write('bo');
  await new Promise(resolve => setTimeout(resolve, NOTICE_MILLISECONDS));
  await configure(fixture, 2, overrides);
  outgoing.end('dy');
  const [response] = await responded;
  response.resume();
  return response.statusCode ?? 0;
}

/** Guards against requests that were held open with an incomplete body until their key was withdrawn, and then ran. */
describe('requests whose body ends after a change of the configuration', () => {
  it.each([
    ['its workspace has another key', [sampleWorkspace({ keys: ['new-key'] })], 401],
    ['there are no workspaces any more', [], 401],
    ['the list is left out', undefined, 401],
    ['its key is still there', [sampleWorkspace({ priority: 2 })], 200],
  ])('are admitted by the new one: %s', async (_name, workspaces, status) => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    expect(await sendAroundChange(fixture, { workspaces })).toBe(status);
    expect(countRuns(fixture)).toBe(status === 200 ? 1 : 0);
  });

  it('are refused once their route needs a key that they lack', async () => {
    const fixture = await startGateway({ ...unsafeRoute, isOpen: true }, [[responds('done')]]);
    const workspaces = [sampleWorkspace({ keys: ['new-key'] })];
    expect(await sendAroundChange(fixture, { workspaces })).toBe(401);
    expect(countRuns(fixture)).toBe(0);
  });

  it('belong to the workspace that has their key now', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const workspaces = [sampleWorkspace({ name: 'crews' as WorkspaceName })];
    expect(await sendAroundChange(fixture, { workspaces })).toBe(200);
    expect(fixture.replicas[0]?.receivedRequests[0]?.headers.get('workspace')).toBe('crews');
  });
});

/** Sends a stream of two events with a pause between them that is longer than a change of the configuration takes. */
const streamsSlowly: Behaviour = (socket, request) => {
  const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
  const headerLines = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
  const first = chunk('id: 1\ndata: a\n\n');
  respondsWithHeaders('200 OK', headerLines, first)(socket, request);
  setTimeout(() => {
    socket.write(`${chunk('id: 2\ndata: b\n\n')}0\r\n\r\n`);
  }, 4 * NOTICE_MILLISECONDS);
};

/** Guards against a request that is given up for a withdrawal after it was sent, although it may have run. */
describe('a request that waits for its replica while its key is withdrawn', () => {
  it('gets its response, since only the time at which it was sent counts', async () => {
    const late: Behaviour = (socket, request) => {
      setTimeout(() => {
        responds('done')(socket, request);
      }, 4 * NOTICE_MILLISECONDS);
    };
    const fixture = await startGateway(unsafeRoute, [[late]]);
    const pending = fixture.send();
    await new Promise(resolve => setTimeout(resolve, NOTICE_MILLISECONDS));
    await configure(fixture, 2, { workspaces: [] });
    expect(await pending).toMatchObject({ body: 'done', status: 200 });
    expect((await fixture.send()).status).toBe(401);
  });
});

/** Guards against the continuation of what began with a key that has been withdrawn since. */
describe('a stream that runs while its key is withdrawn', () => {
  it('is sent to its end, since only the time at which it was requested counts', async () => {
    const fixture = await startGateway(resumableRoute, [[streamsSlowly]]);
    const pending = fixture.send();
    await new Promise(resolve => setTimeout(resolve, NOTICE_MILLISECONDS));
    await configure(fixture, 2, { routes: [resumableRoute], workspaces: [] });
    expect(await pending).toMatchObject({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      isComplete: true,
      status: 200,
    });
  });

  it.each<Readonly<Record<string, string>>>([
    { 'last-event-id': '1', resumes: 'request-1' },
    { 'previous-turn': 'request-1' },
  ])('is not continued by another request of its caller (%j)', async headers => {
    const fixture = await startGateway(resumableRoute, [[streamsEvents([1, 2], 'whole')]]);
    expect((await fixture.send()).status).toBe(200);
    await configure(fixture, 2, { routes: [resumableRoute], workspaces: [] });
    const next = { ...headers, 'request-id': 'request-2' };
    expect((await fixture.send({ headers: next })).status).toBe(401);
    expect(countRuns(fixture)).toBe(1);
  });
});
