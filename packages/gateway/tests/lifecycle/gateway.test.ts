import { createLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import {
  responds,
  respondsTwice,
  respondsWithoutLength,
  sendsMalformedResponse,
  respondsToOtherRequest,
  respondsMisdirected,
  refuses,
  resetsConnection,
  neverResponds,
  streamsEvents,
  truncatesBody,
} from '../support/fakeReplica.js';

import {
  unsafeRoute,
  safeRoute,
  streamRoute,
  resumableRoute,
  startGateway,
  recordCalls,
  waitUntil,
  countRuns,
} from '../support/gatewayFixture.js';

describe('Gateway', () => {
  it('forwards a request without its API key and returns the response unchanged', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const response = await fixture.send({
      body: 'input',
      headers: { connection: 'keep-alive, x-hop', 'x-hop': 'gone', 'x-own': 'kept' },
    });
    expect(response).toMatchObject({ body: 'done', isComplete: true, status: 200 });
    expect(response.headers['server-stamp']).toBe('s1');
    const request = fixture.replicas[0]!.receivedRequests[0]!;
    expect(request).toMatchObject({ body: 'input', method: 'POST', path: '/summaries/7?full=1' });
    expect(request.headers.get('x-own')).toBe('kept');
    expect(request.headers.get('expected')).toBe('r0');
    expect(request.headers.get('workspace')).toBe('clerks');
    expect(request.headers.has('key')).toBe(false);
  });

  it.each([
    ['an unknown path', { path: '/other/' }, 404],
    ['an unknown host', { headers: { host: 'other.example' } }, 404],
    ['an unknown key', { headers: { key: 'wrong' } }, 401],
    ['a body that is too large', { body: 'x'.repeat(5_000) }, 413],
  ])('refuses %s', async (_name, options, status) => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    expect((await fixture.send(options)).status).toBe(status);
    expect(countRuns(fixture)).toBe(0);
  });

  it.each([
    ['refuses it', refuses],
    ['is not the expected one', respondsMisdirected],
  ])('sends an unsafe request to another replica when one %s', async (_name, behaviour) => {
    const fixture = await startGateway(unsafeRoute, [[behaviour], [behaviour], [responds('done')]]);
    for (let round = 0; round < 3; round++) {
      expect((await fixture.send()).status).toBe(200);
    }
  });

  it('responds with 503 and Retry-After when all replicas refuse a request', async () => {
    const fixture = await startGateway(unsafeRoute, [[refuses], [refuses]]);
    const response = await fixture.send();
    expect(response.status).toBe(503);
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
  });

  const lostResponses: readonly (readonly [string, Behaviour])[] = [
    ['resets the connection', resetsConnection],
    ['truncates its response', truncatesBody],
    ['responds to another request', respondsToOtherRequest],
    ['sends a malformed response', sendsMalformedResponse],
  ];

  it.each(lostResponses)(
    'runs an unsafe request once when the replica %s',
    async (_name, behaviour) => {
      const fixture = await startGateway(unsafeRoute, [[behaviour], [behaviour]]);
      expect((await fixture.send()).status).toBe(502);
      expect(countRuns(fixture)).toBe(1);
    },
  );

  it.each(lostResponses)(
    'runs a safe request again when the replica %s',
    async (_name, behaviour) => {
      const fixture = await startGateway(safeRoute, [
        [behaviour, responds('done')],
        [responds('done')],
      ]);
      const response = await fixture.send({ method: 'GET' });
      expect(response).toMatchObject({ body: 'done', status: 200 });
      expect(countRuns(fixture)).toBe(2);
    },
  );

  it('runs a safe request at most as often as its route allows', async () => {
    const fixture = await startGateway(safeRoute, [
      [resetsConnection],
      [resetsConnection],
      [resetsConnection],
      [resetsConnection],
    ]);
    expect((await fixture.send({ method: 'GET' })).status).toBe(502);
    expect(countRuns(fixture)).toBe(2);
  });

  it.each([0, 5])(
    'never returns a surplus response to the next request (sent after %i ms)',
    async pause => {
      const fixture = await startGateway(safeRoute, [
        [respondsTwice('mine', pause), responds('next')],
      ]);
      expect((await fixture.send({ method: 'GET' })).body).toBe('mine');
      await new Promise(resolve => setTimeout(resolve, 2 * pause));
      const response = await fixture.send({
        headers: { 'request-id': 'request-2' },
        method: 'GET',
      });
      expect(response.body).not.toBe('other');
    },
  );

  it('accepts a response whose end is the end of its connection', async () => {
    const fixture = await startGateway(unsafeRoute, [[respondsWithoutLength('all of it')]]);
    expect(await fixture.send()).toMatchObject({
      body: 'all of it',
      isComplete: true,
      status: 200,
    });
  });

  it('forwards the error response of a replica that ran an unsafe request', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('broken', '500 Failed')]]);
    expect(await fixture.send()).toMatchObject({ body: 'broken', status: 500 });
  });

  it('ends a request at the timeout of its route', async () => {
    const fixture = await startGateway({ ...unsafeRoute, timeoutMilliseconds: 60 }, [
      [neverResponds],
    ]);
    expect((await fixture.send()).status).toBe(504);
  });

  it('closes the connection to the replica when the caller of a safe request disconnects', async () => {
    const fixture = await startGateway(safeRoute, [[neverResponds]]);
    await expect(fixture.send({ disconnectAfterMilliseconds: 30, method: 'GET' })).rejects.toThrow(
      'left',
    );
    await waitUntil(() => fixture.replicas[0]!.closedConnections === 1);
    expect(countRuns(fixture)).toBe(1);
  });

  it('forwards the events of a stream', async () => {
    const fixture = await startGateway(streamRoute, [[streamsEvents([1, 2, 3], 'whole')]]);
    const response = await fixture.send({ body: 'input' });
    expect(response.isComplete).toBe(true);
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
  });

  it.each(['break', 'half-event'] as const)(
    'resumes a stream at another replica after it ended with a %s',
    async end => {
      const behaviour: Behaviour = (socket, request) => {
        const isResumed = request.headers.has('last-event-id');
        const respond = isResumed ? streamsEvents([3, 4], 'whole') : streamsEvents([1, 2], end);
        respond(socket, request);
      };
      const fixture = await startGateway(resumableRoute, [[behaviour], [behaviour]]);
      const response = await fixture.send({ body: 'input' });
      const ids = response.body.match(/id: \d+/g) ?? [];
      expect(ids).toEqual(['id: 1', 'id: 2', 'id: 3', 'id: 4']);
      expect(response.isComplete).toBe(true);
      expect(fixture.replicas.map(replica => replica.receivedRequests.length)).toEqual([1, 1]);
    },
  );

  it('leaves the response incomplete when its stream breaks', async () => {
    const fixture = await startGateway(streamRoute, [[streamsEvents([1, 2], 'break')]]);
    const response = await fixture.send({ body: 'input' });
    expect(response.isComplete).toBe(false);
    expect(countRuns(fixture)).toBe(1);
  });

  it('responds with 503 to requests with a key once its configuration may be outdated', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    fixture.store.isRefusing = true;
    await waitUntil(() => !fixture.gateway.isReady);
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const response = await fixture.send({ headers: { connection: 'keep-alive' } });
    expect(response.status).toBe(503);
    expect(response.headers.connection).toBe('close');
    expect(countRuns(fixture)).toBe(0);
  }, 20_000);

  it('reports itself unready before it refuses requests', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const usual = await fixture.send({ headers: { connection: 'keep-alive' } });
    expect(usual.headers.connection).toBe('keep-alive');
    fixture.store.isRefusing = true;
    await waitUntil(() => !fixture.gateway.isReady);
    const response = await fixture.send({ headers: { connection: 'keep-alive' } });
    expect(response.status).toBe(200);
    expect(response.headers.connection).toBe('close');
  }, 20_000);

  it('sends a longer Retry-After to callers that arrive after two unready checks', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    fixture.store.isRefusing = true;
    await waitUntil(() => !fixture.gateway.isReady);
    await new Promise(resolve => setTimeout(resolve, 2_000));
    await fixture.checkReadiness();
    expect((await fixture.send()).headers['retry-after']).toBe('0.03');
    await fixture.checkReadiness();
    expect((await fixture.send()).headers['retry-after']).toBe('1');
    fixture.store.isRefusing = false;
    await waitUntil(() => fixture.gateway.isReady);
    expect((await fixture.send()).status).toBe(200);
  }, 20_000);

  it('logs the replica, the number of runs and the waiting time of a served request', async () => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const logger = createLogger(
      'info',
      {},
      { write: line => lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>) },
    );
    const fixture = await startGateway(safeRoute, [[resetsConnection], [responds('done')]], {
      logger,
    });
    expect((await fixture.send()).status).toBe(200);
    const line = lines.find(({ event }) => event === 'request-served');
    expect(line).toMatchObject({
      replica: 'r1',
      request: 'request-1',
      runs: 2,
    });
    expect(line?.['waited']).toBeLessThanOrEqual(Number(line?.['elapsed']));
  });

  it('requests workspace rate and turn tokens from the store concurrently', async () => {
    const calls: string[] = [];
    const fixture = await startGateway(streamRoute, [[streamsEvents([1], 'whole')]], {
      ratePerSecond: 100,
      wrapTable: table => recordCalls(table, calls),
    });
    fixture.store.latencyMilliseconds = 30;
    const headers = { most: '50', program: 'program-1', 'token-budget': '1000' };
    expect((await fixture.send({ body: 'input', headers })).status).toBe(200);
    expect(calls.indexOf('asked budgets')).toBeGreaterThanOrEqual(0);
    expect(calls.indexOf('asked budgets')).toBeLessThan(calls.indexOf('answered rates'));
  });

  it('completes the requests in flight when it stops', async () => {
    const delayed: Behaviour = (socket, request) => {
      setTimeout(() => {
        responds('late')(socket, request);
      }, 100);
    };
    const fixture = await startGateway(unsafeRoute, [[delayed]]);
    const response = fixture.send();
    await waitUntil(() => countRuns(fixture) === 1);
    const stopped = fixture.gateway.stop();
    expect(fixture.gateway.isReady).toBe(false);
    expect(await response).toMatchObject({ body: 'late', status: 200 });
    await stopped;
  });
});
