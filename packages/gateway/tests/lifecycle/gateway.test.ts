import { createLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import {
  answers,
  answersTwice,
  answersUnframed,
  babbles,
  confuses,
  misdirects,
  refuses,
  resets,
  stalls,
  streams,
  truncates,
} from '../support/fakeReplica.js';

import {
  unsafeRoute,
  safeRoute,
  streamRoute,
  resumableRoute,
  startFleet,
  noteCalls,
  waitUntil,
  runsOf,
} from '../support/fleet.js';

describe('an instance that serves directly', () => {
  it('forwards a request as it came, without the key, and its answer as it is', async () => {
    const fleet = await startFleet(unsafeRoute, [[answers('done')]]);
    const reply = await fleet.send({
      body: 'input',
      headers: { connection: 'keep-alive, x-hop', 'x-hop': 'gone', 'x-own': 'kept' },
    });
    expect(reply).toMatchObject({ body: 'done', isWhole: true, status: 200 });
    expect(reply.headers['server-stamp']).toBe('s1');
    const seen = fleet.replicas[0]!.seen[0]!;
    expect(seen).toMatchObject({ body: 'input', method: 'POST', path: '/summaries/7?full=1' });
    expect(seen.headers.get('x-own')).toBe('kept');
    expect(seen.headers.get('expected')).toBe('r0');
    expect(seen.headers.get('workspace')).toBe('clerks');
    expect(seen.headers.has('key')).toBe(false);
  });

  it.each([
    ['an unknown path', { path: '/other/' }, 404],
    ['an unknown host', { headers: { host: 'other.example' } }, 404],
    ['an unknown key', { headers: { key: 'wrong' } }, 401],
    ['a body that is too large', { body: 'x'.repeat(5_000) }, 413],
  ])('refuses %s', async (_name, options, status) => {
    const fleet = await startFleet(unsafeRoute, [[answers('done')]]);
    expect((await fleet.send(options)).status).toBe(status);
    expect(runsOf(fleet)).toBe(0);
  });

  it.each([
    ['refuses', refuses],
    ['is another one', misdirects],
  ])('sends an unsafe request on when a replica %s', async (_name, behaviour) => {
    const fleet = await startFleet(unsafeRoute, [[behaviour], [behaviour], [answers('done')]]);
    for (let round = 0; round < 3; round++) {
      expect((await fleet.send()).status).toBe(200);
    }
  });

  it('says that a request did not run when all replicas refuse it', async () => {
    const fleet = await startFleet(unsafeRoute, [[refuses], [refuses]]);
    const reply = await fleet.send();
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
  });

  const lostAnswers: readonly (readonly [string, Behaviour])[] = [
    ['resets the connection', resets],
    ['breaks its answer off', truncates],
    ['answers another request', confuses],
    ['sends no answer', babbles],
  ];

  it.each(lostAnswers)(
    'runs an unsafe request once when the replica %s',
    async (_name, behaviour) => {
      const fleet = await startFleet(unsafeRoute, [[behaviour], [behaviour]]);
      expect((await fleet.send()).status).toBe(502);
      expect(runsOf(fleet)).toBe(1);
    },
  );

  it.each(lostAnswers)(
    'runs a safe request again when the replica %s',
    async (_name, behaviour) => {
      const fleet = await startFleet(safeRoute, [[behaviour, answers('done')], [answers('done')]]);
      const reply = await fleet.send({ method: 'GET' });
      expect(reply).toMatchObject({ body: 'done', status: 200 });
      expect(runsOf(fleet)).toBe(2);
    },
  );

  it('runs a safe request no more often than its route allows', async () => {
    const fleet = await startFleet(safeRoute, [[resets], [resets], [resets], [resets]]);
    expect((await fleet.send({ method: 'GET' })).status).toBe(502);
    expect(runsOf(fleet)).toBe(2);
  });

  it.each([0, 5])('never gives a late second answer to the next request (%i ms)', async pause => {
    const fleet = await startFleet(safeRoute, [[answersTwice('mine', pause), answers('next')]]);
    expect((await fleet.send({ method: 'GET' })).body).toBe('mine');
    await new Promise(resolve => setTimeout(resolve, 2 * pause));
    const reply = await fleet.send({ headers: { 'request-id': 'request-2' }, method: 'GET' });
    expect(reply.body).not.toBe('other');
  });

  it('takes an answer that ends with its connection', async () => {
    const fleet = await startFleet(unsafeRoute, [[answersUnframed('all of it')]]);
    expect(await fleet.send()).toMatchObject({ body: 'all of it', isWhole: true, status: 200 });
  });

  it('passes on the failure of a replica that ran an unsafe request', async () => {
    const fleet = await startFleet(unsafeRoute, [[answers('broken', '500 Failed')]]);
    expect(await fleet.send()).toMatchObject({ body: 'broken', status: 500 });
  });

  it('ends a request at the time of its route', async () => {
    const fleet = await startFleet({ ...unsafeRoute, timeoutMilliseconds: 60 }, [[stalls]]);
    expect((await fleet.send()).status).toBe(504);
  });

  it('closes the connection of a safe request whose caller left', async () => {
    const fleet = await startFleet(safeRoute, [[stalls]]);
    await expect(fleet.send({ leaveAfter: 30, method: 'GET' })).rejects.toThrow('left');
    await waitUntil(() => fleet.replicas[0]!.closed === 1);
    expect(runsOf(fleet)).toBe(1);
  });

  it('hands over the events of a stream', async () => {
    const fleet = await startFleet(streamRoute, [[streams([1, 2, 3], 'whole')]]);
    const reply = await fleet.send({ body: 'input' });
    expect(reply.isWhole).toBe(true);
    expect(reply.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
  });

  it.each(['break', 'half-event'] as const)('goes on after a stream ended with a %s', async end => {
    const behaviour: Behaviour = (socket, request) => {
      const isResumed = request.headers.has('last-event-id');
      const answer = isResumed ? streams([3, 4], 'whole') : streams([1, 2], end);
      answer(socket, request);
    };
    const fleet = await startFleet(resumableRoute, [[behaviour], [behaviour]]);
    const reply = await fleet.send({ body: 'input' });
    const ids = reply.body.match(/id: \d+/g) ?? [];
    expect(ids).toEqual(['id: 1', 'id: 2', 'id: 3', 'id: 4']);
    expect(reply.isWhole).toBe(true);
    expect(fleet.replicas.map(replica => replica.seen.length)).toEqual([1, 1]);
  });

  it('does not let a broken stream look complete', async () => {
    const fleet = await startFleet(streamRoute, [[streams([1, 2], 'break')]]);
    const reply = await fleet.send({ body: 'input' });
    expect(reply.isWhole).toBe(false);
    expect(runsOf(fleet)).toBe(1);
  });

  it.each([
    ['its own input alone', undefined],
    ['a chain of turns', 'turn-a'],
  ])('refuses a turn that crashed three replicas with %s', async (_name, previousTurn) => {
    const behaviour: Behaviour = (socket, request) => {
      const answer = request.body.includes('poison') ? resets : streams([1], 'whole');
      answer(socket, request);
    };
    const fleet = await startFleet({ ...streamRoute, keepsTurns: true }, [[behaviour]]);
    await fleet.send({ body: 'hello', headers: { 'request-id': 'turn-a' } });
    const statuses: number[] = [];
    for (let attempt = 0; attempt < 4; attempt++) {
      const headers = {
        'request-id': `poison-${String(attempt)}`,
        ...(previousTurn === undefined ? {} : { 'previous-turn': previousTurn }),
      };
      statuses.push((await fleet.send({ body: 'poison', headers })).status);
    }
    expect(statuses).toEqual([502, 502, 502, 503]);
    expect(runsOf(fleet)).toBe(4);
  });

  it('answers 503 to requests with a key once its configuration may be old', async () => {
    const fleet = await startFleet(unsafeRoute, [[answers('done')]]);
    fleet.store.isRefusing = true;
    await waitUntil(() => !fleet.gateway.isReady);
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const reply = await fleet.send({ headers: { connection: 'keep-alive' } });
    expect(reply.status).toBe(503);
    expect(reply.headers.connection).toBe('close');
    expect(runsOf(fleet)).toBe(0);
  }, 20_000);

  it('leaves the rotation well before it must refuse requests', async () => {
    const fleet = await startFleet(unsafeRoute, [[answers('done')]]);
    const usual = await fleet.send({ headers: { connection: 'keep-alive' } });
    expect(usual.headers.connection).toBe('keep-alive');
    fleet.store.isRefusing = true;
    await waitUntil(() => !fleet.gateway.isReady);
    const reply = await fleet.send({ headers: { connection: 'keep-alive' } });
    expect(reply.status).toBe(200);
    expect(reply.headers.connection).toBe('close');
  }, 20_000);

  it('tells callers to come back later when they arrive although it left the rotation', async () => {
    const fleet = await startFleet(unsafeRoute, [[answers('done')]]);
    fleet.store.isRefusing = true;
    await waitUntil(() => !fleet.gateway.isReady);
    await new Promise(resolve => setTimeout(resolve, 2_000));
    await fleet.checkReadiness();
    expect((await fleet.send()).headers['retry-after']).toBe('0.03');
    await fleet.checkReadiness();
    expect((await fleet.send()).headers['retry-after']).toBe('1');
    fleet.store.isRefusing = false;
    await waitUntil(() => fleet.gateway.isReady);
    expect((await fleet.send()).status).toBe(200);
  }, 20_000);

  it('tells where a request was served, after how many runs, and how long it waited before', async () => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const logger = createLogger(
      'info',
      {},
      { write: line => lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>) },
    );
    const fleet = await startFleet(safeRoute, [[resets], [answers('done')]], { logger });
    expect((await fleet.send()).status).toBe(200);
    const line = lines.find(({ event }) => event === 'request-served');
    expect(line).toMatchObject({
      replica: 'r1',
      request: 'request-1',
      runs: 2,
    });
    expect(line?.['waited']).toBeLessThanOrEqual(Number(line?.['elapsed']));
  });

  it('asks for the rate of the workspace and for the tokens of a turn at the same time', async () => {
    const seen: string[] = [];
    const fleet = await startFleet(streamRoute, [[streams([1], 'whole')]], {
      ratePerSecond: 100,
      watch: table => noteCalls(table, seen),
    });
    fleet.store.latency = 30;
    const headers = { most: '50', program: 'program-1', 'token-budget': '1000' };
    expect((await fleet.send({ body: 'input', headers })).status).toBe(200);
    expect(seen.indexOf('asked budgets')).toBeGreaterThanOrEqual(0);
    expect(seen.indexOf('asked budgets')).toBeLessThan(seen.indexOf('answered rates'));
  });

  it('answers what is under way when it is asked to stop', async () => {
    const late: Behaviour = (socket, request) => {
      setTimeout(() => {
        answers('late')(socket, request);
      }, 100);
    };
    const fleet = await startFleet(unsafeRoute, [[late]]);
    const reply = fleet.send();
    await waitUntil(() => runsOf(fleet) === 1);
    const stopped = fleet.gateway.stop();
    expect(fleet.gateway.isReady).toBe(false);
    expect(await reply).toMatchObject({ body: 'late', status: 200 });
    await stopped;
  });
});
