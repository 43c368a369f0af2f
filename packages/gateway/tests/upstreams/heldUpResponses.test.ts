import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import {
  respondsUnframed,
  respondsWithHeaders,
  streamsEvents,
  streamsUnframed,
  withBodyUnread,
} from '../support/fakeReplica.js';
import { countRuns, startGateway, streamRoute, unsafeRoute } from '../support/gatewayFixture.js';

/** Time limit of the route, in milliseconds: longer than the upload takes. */
const ROUTE_TIMEOUT_MILLISECONDS = 2_000;
const UPLOAD_BYTES = 12_000_000;
const CHUNKED = 'Transfer-Encoding: chunked';

const bodies: readonly (readonly [string, Behaviour])[] = [
  ['with a length', respondsWithHeaders('200 OK', ['Content-Length: 9'], 'part')],
  ['in chunks', respondsWithHeaders('200 OK', [CHUNKED], '4\r\npart\r\n')],
  ['unframed', respondsUnframed('part', 'stall')],
];
const streams: readonly (readonly [string, Behaviour])[] = [
  ['with a length', respondsWithHeaders('200 OK', ['Content-Length: 99'], 'id: 1\ndata: x\n\n')],
  ['in chunks', streamsEvents([1, 2], 'stall')],
  ['unframed', streamsUnframed([1, 2], 'stall')],
];
const requests = [
  ['after a request', (behaviour: Behaviour) => behaviour, 'input'],
  ['during an upload', withBodyUnread, 'x'.repeat(UPLOAD_BYTES)],
] as const;

// Guards against: a part whose rest never came, given to its caller as a whole response at the time limit.
describe.each(requests)('a response that is held up %s', (_name, wrap, body) => {
  const options = { maximumBodyBytes: UPLOAD_BYTES };
  const timeoutMilliseconds = ROUTE_TIMEOUT_MILLISECONDS;

  it.each(bodies)('is no response at the time limit: %s', async (_framing, behaviour) => {
    const route = { ...unsafeRoute, timeoutMilliseconds };
    const fixture = await startGateway(route, [[wrap(behaviour)]], options);
    expect([502, 504]).toContain((await fixture.send({ body })).status);
    expect(countRuns(fixture)).toBe(1);
  });

  it.each(streams)('is a stream that is cut at the time limit: %s', async (_framing, behaviour) => {
    const route = { ...streamRoute, timeoutMilliseconds };
    const fixture = await startGateway(route, [[wrap(behaviour)]], options);
    const response = await fixture.send({ body });
    expect(response.status === 200 && response.isComplete).toBe(false);
  });
});
