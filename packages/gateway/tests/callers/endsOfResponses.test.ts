import { Err } from '@zincring/core';
import { PlatformError } from '@zincring/platform';
import { describe, expect, it } from 'vitest';

import type { GatewayRoute } from '../../src/configuration/gatewayConfiguration.js';
import type { Behaviour } from '../support/fakeReplica.js';
import type { RawResponse } from '../support/rawCaller.js';

import { TURN_TABLE } from '../../src/programs/storedTurnRows.js';
import {
  inOrder,
  responds,
  respondsUnframed,
  respondsWithHead,
  streamsEvents,
  streamsUnframed,
  truncatesBody,
} from '../support/fakeReplica.js';
import {
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
} from '../support/gatewayFixture.js';
import { sendRaw } from '../support/rawCaller.js';

type Expected = Partial<RawResponse>;

const cut: Expected = { isWhole: false, status: 200 };
const failed: Expected = { isWhole: true, mark: 'length', status: 502 };
const chunks: Expected = { isWhole: true, mark: 'chunks', status: 200 };
const length: Expected = { isWhole: true, mark: 'length', status: 200 };
const unmarked: Expected = { isWhole: true, mark: 'none', status: 200 };

const streams: readonly (readonly [string, Behaviour, Expected, Expected])[] = [
  ['in chunks, whole', streamsEvents([1, 2], 'whole'), chunks, unmarked],
  ['in chunks, whole without events', streamsEvents([], 'whole'), chunks, unmarked],
  ['in chunks, closed between events', streamsEvents([1, 2], 'break'), cut, cut],
  ['in chunks, closed inside an event', streamsEvents([1, 2], 'half-event'), cut, cut],
  ['with a length, whole', responds('id: 1\ndata: x\n\n'), chunks, unmarked],
  ['unframed, closed between events', streamsUnframed([1, 2], 'close'), chunks, unmarked],
  ['unframed, closed inside an event', streamsUnframed([1, 2], 'half-event'), cut, cut],
  ['unframed, closed before an event', streamsUnframed([], 'close'), failed, failed],
  ['unframed, reset between events', streamsUnframed([1, 2], 'reset'), cut, cut],
  ['unframed, reset with an event', streamsUnframed([1, 2], 'immediate-reset'), cut, cut],
  ['unframed, reset before an event', streamsUnframed([], 'reset'), failed, failed],
];

const bodies: readonly (readonly [string, Behaviour, Expected])[] = [
  ['with a length, whole', responds('all'), length],
  ['with a length, whole and empty', responds(''), length],
  ['with a length, closed early', truncatesBody, failed],
  ['in chunks, whole', streamsEvents([1], 'whole'), length],
  ['in chunks, closed early', streamsEvents([1], 'break'), failed],
  ['unframed, closed', respondsUnframed('all', 'close'), unmarked],
  ['unframed, closed and empty', respondsUnframed('', 'close'), unmarked],
  ['unframed, reset', respondsUnframed('all', 'reset'), failed],
  ['unframed, reset with its bytes', respondsUnframed('all', 'immediate-reset'), failed],
];

const resumed: readonly (readonly [string, Behaviour, Expected, Expected])[] = [
  ['in chunks, whole', streamsEvents([3], 'whole'), chunks, unmarked],
  ['unframed, closed between events', streamsUnframed([3], 'close'), chunks, unmarked],
  ['unframed, closed inside an event', streamsUnframed([3], 'half-event'), cut, cut],
  ['unframed, reset', streamsUnframed([3], 'reset'), cut, cut],
];

async function receive(
  route: GatewayRoute,
  behaviours: readonly Behaviour[],
  request: Parameters<typeof sendRaw>[1] = {},
): Promise<RawResponse> {
  const fixture = await startGateway(
    route,
    behaviours.map(behaviour => [behaviour]),
  );
  return await sendRaw(fixture.gateway.ports.callers, request);
}

// Guards against: streams without a length looked whole when their instance was killed (review/2).
describe('the end of a response', () => {
  it.each(streams)('of a stream is as in the table: %s', async (_name, behaviour, ...expected) => {
    const fixture = await startGateway(streamRoute, [[behaviour]]);
    const { callers } = fixture.gateway.ports;
    expect(await sendRaw(callers)).toMatchObject(expected[0]);
    expect(await sendRaw(callers, { version: '1.0' })).toMatchObject(expected[1]);
  });

  it.each(bodies)('of a body is as in the table: %s', async (_name, behaviour, expected) => {
    const fixture = await startGateway(unsafeRoute, [[behaviour]]);
    const { callers } = fixture.gateway.ports;
    expect(await sendRaw(callers)).toMatchObject(expected);
    expect(await sendRaw(callers, { version: '1.0' })).toMatchObject(expected);
  });

  it.each(resumed)(
    'of a stream that another replica goes on with is as in the table: %s',
    async (_name, second, ...expected) => {
      for (const [index, version] of (['1.1', '1.0'] as const).entries()) {
        const behaviour = inOrder(streamsUnframed([1, 2], 'reset'), second);
        const response = await receive(resumableRoute, [behaviour, behaviour], { version });
        expect(response).toMatchObject(expected[index]!);
        expect(response.body.match(/id: [1-3]/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
      }
    },
  );

  it.each([
    ['stream', streamRoute],
    ['body', unsafeRoute],
  ])('is that of its head for a status without a body: %s', async (_name, route) => {
    for (const version of ['1.1', '1.0'] as const) {
      const response = await receive(route, [responds('', '204 No Content')], { version });
      expect(response).toEqual({ body: '', isWhole: true, mark: 'none', status: 204 });
    }
  });

  it.each([
    ['a stream in chunks', streamRoute, ['Transfer-Encoding: chunked'], undefined],
    ['a stream with a length', streamRoute, ['Content-Length: 12'], '12'],
    ['a body with a length', safeRoute, ['Content-Length: 12'], '12'],
    ['an unframed body', safeRoute, ['Connection: keep-alive'], undefined],
  ])(
    'is that of its head for HEAD, with the length of the replica: %s',
    async (_name, route, headerLines, contentLength) => {
      const fixture = await startGateway(route, [[respondsWithHead(headerLines)]]);
      const response = await fixture.send({ method: 'HEAD' });
      expect(response).toMatchObject({ body: '', isComplete: true, status: 200 });
      expect(response.headers['content-length']).toBe(contentLength);
      const raw = await sendRaw(fixture.gateway.ports.callers, { method: 'HEAD', version: '1.0' });
      expect(raw).toMatchObject({ body: '', isWhole: true, status: 200 });
    },
  );

  it.each(['1.1', '1.0'] as const)(
    'is not there while a stream goes on, if the process is killed (HTTP/%s)',
    async version => {
      for (const behaviour of [streamsEvents([1, 2], 'stall'), streamsUnframed([1, 2], 'stall')]) {
        const request = { until: 'piece 2\n', version } as const;
        expect(await receive(streamRoute, [behaviour], request)).toMatchObject(cut);
      }
    },
  );

  it.each(['1.1', '1.0'] as const)(
    'is not there before a turn is stored (HTTP/%s)',
    async version => {
      const route = { ...streamRoute, storesTurns: true, timeoutMilliseconds: 300 };
      const fixture = await startGateway(route, [[streamsUnframed([1, 2], 'close')]], {
        wrapTable: table => ({
          ...table,
          transact: async transaction =>
            transaction.writes[0]?.table === TURN_TABLE
              ? Err(new PlatformError('unavailable', 'turns are refused'))
              : await table.transact(transaction),
        }),
      });
      expect(await sendRaw(fixture.gateway.ports.callers, { version })).toMatchObject(cut);
    },
  );
});
