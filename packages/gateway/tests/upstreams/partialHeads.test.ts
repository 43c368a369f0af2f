import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { inOrder, responds, stopsAfter, streamsEvents } from '../support/fakeReplica.js';
import {
  countRuns,
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
} from '../support/gatewayFixture.js';
import { sendRaw } from '../support/rawCaller.js';

/** Length of the head that {@link stopsAfter} breaks off, with the id of the request. */
const HEAD_BYTES =
  'HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nServer-Stamp: s1\r\n'.length +
  'Content-Type: text/event-stream\r\nContent-Length: 4\r\n\r\n'.length;
const ends = ['close', 'reset'] as const;
const cuts = ends.flatMap(end =>
  Array.from({ length: HEAD_BYTES + 1 }, (_unused, bytes): readonly [number, typeof end] => [
    bytes,
    end,
  ]),
);
const behaviours: readonly Behaviour[] = cuts.map(([bytes, end]) => stopsAfter(bytes, end));

// Guards against: a head that is cut, passed on as an empty or short response.
describe('a head that its replica does not finish', () => {
  it.each([unsafeRoute, streamRoute])(
    'is never passed on as an empty or short response: $kind',
    async route => {
      const fixture = await startGateway(route, [behaviours]);
      for (const [bytes, end] of cuts) {
        const response = await sendRaw(fixture.gateway.ports.callers);
        expect(response, `${String(bytes)} bytes, ${end}`).toMatchObject({
          isWhole: true,
          mark: 'length',
          status: 502,
        });
      }
      expect(countRuns(fixture)).toBe(cuts.length);
    },
  );

  it('leaves a safe request to the next replica', async () => {
    const fixture = await startGateway(safeRoute, [behaviours, [responds('done')]]);
    for (const [bytes, end] of cuts) {
      const { body } = await sendRaw(fixture.gateway.ports.callers);
      expect(body, `${String(bytes)} bytes, ${end}`).toBe('done');
    }
  });

  it.each([1, 17, 60, HEAD_BYTES - 2, HEAD_BYTES - 1])(
    'never ends a stream that has begun, nor keeps it from the next replica: %i bytes',
    async bytes => {
      for (const end of ends) {
        for (const maximumAttempts of [2, 3]) {
          const behaviour = inOrder(
            streamsEvents([1, 2], 'break'),
            stopsAfter(bytes, end),
            streamsEvents([3], 'whole'),
          );
          const fixture = await startGateway({ ...resumableRoute, maximumAttempts }, [
            [behaviour],
            [behaviour],
            [behaviour],
          ]);
          const { body, isWhole } = await sendRaw(fixture.gateway.ports.callers);
          expect(isWhole).toBe(maximumAttempts === 3);
          expect(body.match(/id: \d/g)).toEqual(
            ['id: 1', 'id: 2', 'id: 3'].slice(0, maximumAttempts),
          );
        }
      }
    },
  );
});
