import { Err } from '@zincring/core';
import { PlatformError } from '@zincring/platform';
import { describe, expect, it } from 'vitest';

import type { ConnectionEnd } from '../support/fakeReplica.js';

import { TURN_TABLE } from '../../src/programs/storedTurnRows.js';
import {
  inOrder,
  respondsUnframed,
  streamsEvents,
  streamsUnframed,
} from '../support/fakeReplica.js';
import {
  countRuns,
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
} from '../support/gatewayFixture.js';

const brokenStreams: readonly (readonly [string, readonly number[], ConnectionEnd])[] = [
  ['is reset before its first event', [], 'reset'],
  ['is reset between two events', [1, 2], 'reset'],
  ['is reset together with its head', [], 'immediate-reset'],
  ['is reset together with an event', [1, 2], 'immediate-reset'],
  ['ends inside its first event', [], 'half-event'],
  ['ends inside a later event', [1, 2], 'half-event'],
  ['ends without any event', [], 'close'],
];

const resets: readonly ConnectionEnd[] = ['reset', 'immediate-reset'];

describe('responses without a length or chunks', () => {
  it('never marks the end of a body whose replica did not mark it', async () => {
    const fixture = await startGateway(unsafeRoute, [[respondsUnframed('all of it', 'close')]]);
    const response = await fixture.send({ body: 'input' });
    expect(response).toMatchObject({ isComplete: true, isFramed: false, status: 200 });
    expect(response.headers.connection).toBe('close');
    expect(response.body).toBe('all of it');
  });

  it('marks the end of a stream whose connection was closed between two events', async () => {
    const fixture = await startGateway(streamRoute, [[streamsUnframed([1, 2, 3], 'close')]]);
    const response = await fixture.send({ body: 'input' });
    expect(response).toMatchObject({ isComplete: true, isFramed: true, status: 200 });
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
  });

  it.each([
    [
      'the first one breaks off its chunks',
      streamsEvents([1, 2], 'break'),
      streamsUnframed([3], 'close'),
      true,
    ],
    ['both break off', streamsEvents([1, 2], 'break'), streamsUnframed([3], 'half-event'), false],
    [
      'only the second one marks its end',
      streamsUnframed([1, 2], 'reset'),
      streamsEvents([3], 'whole'),
      true,
    ],
  ])('joins the streams of two replicas when %s', async (_name, first, second, isComplete) => {
    const behaviour = inOrder(first, second);
    const fixture = await startGateway(resumableRoute, [[behaviour], [behaviour]]);
    const response = await fixture.send({ body: 'input' });
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
    expect(response).toMatchObject({ isComplete, isFramed: true, status: 200 });
  });

  it.each(brokenStreams)(
    'never presents a broken stream as complete when it %s',
    async (_name, ids, end) => {
      const fixture = await startGateway(streamRoute, [[streamsUnframed(ids, end)]]);
      const response = await fixture.send({ body: 'input' });
      expect(response.status === 200 && response.isComplete).toBe(false);
      expect(countRuns(fixture)).toBe(1);
    },
  );

  it.each(brokenStreams)(
    'resumes a broken stream at another replica when it %s',
    async (_name, ids, end) => {
      const behaviour = inOrder(streamsUnframed(ids, end), streamsEvents([3, 4], 'whole'));
      const fixture = await startGateway(resumableRoute, [[behaviour], [behaviour]]);
      const response = await fixture.send({ body: 'input' });
      expect(response.body.match(/id: \d+/g)).toEqual(
        [...ids, 3, 4].map(id => `id: ${String(id)}`),
      );
      expect(response.isComplete).toBe(true);
    },
  );

  it.each(resets)('never stores a turn whose stream was ended by %s', async end => {
    const route = { ...streamRoute, storesTurns: true };
    const fixture = await startGateway(route, [[streamsUnframed([1, 2], end)]]);
    await fixture.send({ body: 'input', headers: { 'request-id': 'turn-a' } });
    const next = await fixture.send({ body: 'more', headers: { 'previous-turn': 'turn-a' } });
    expect(next.status).toBe(404);
  });

  it('never marks the end of a turn before the turn is stored', async () => {
    const route = { ...streamRoute, storesTurns: true, timeoutMilliseconds: 300 };
    const fixture = await startGateway(route, [[streamsUnframed([1, 2, 3], 'close')]], {
      wrapTable: table => ({
        ...table,
        transact: async transaction =>
          transaction.writes[0]?.table === TURN_TABLE
            ? Err(new PlatformError('unavailable', 'turns are refused'))
            : await table.transact(transaction),
      }),
    });
    const response = await fixture.send({ body: 'input' });
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
    expect(response).toMatchObject({ isComplete: false, isFramed: true });
  });

  it.each(resets)('never returns the part of a response that was ended by %s', async end => {
    const fixture = await startGateway(unsafeRoute, [[respondsUnframed('half', end)]]);
    expect((await fixture.send()).status).toBe(502);
    expect(countRuns(fixture)).toBe(1);
  });

  it.each(resets)('runs a safe request again when its response was ended by %s', async end => {
    const behaviour = inOrder(
      respondsUnframed('half', end),
      respondsUnframed('all of it', 'close'),
    );
    const fixture = await startGateway(safeRoute, [[behaviour], [behaviour]]);
    expect(await fixture.send({ method: 'GET' })).toMatchObject({ body: 'all of it', status: 200 });
    expect(countRuns(fixture)).toBe(2);
  });
});
