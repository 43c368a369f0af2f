import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { inOrder, responds, respondsWithHeaders, streamsEvents } from '../support/fakeReplica.js';
import {
  countRuns,
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
} from '../support/gatewayFixture.js';

const LENGTH = 'Content-Length: 4';

/** Header lines, behind the id of the request and the stamp of the replica, that no sound replica sends. */
const oddLines: readonly (readonly [string, readonly string[]])[] = [
  ['a name with a blank', ['Odd Name: x', LENGTH]],
  ['a name with a tab', ['Odd\tName: x', LENGTH]],
  ['a name with NUL', ['Odd\0Name: x', LENGTH]],
  ['a name with a control byte', ['Odd\u0001Name: x', LENGTH]],
  ['a name with a line feed', ['Odd\nName: x', LENGTH]],
  ['a name with a carriage return', ['Odd\rName: x', LENGTH]],
  ['a name with byte 7f', ['Odd\u007fName: x', LENGTH]],
  ['a name with byte e9', ['Odd\u00e9Name: x', LENGTH]],
  ['a name with a bracket', ['Odd(Name): x', LENGTH]],
  ['an empty name', [': x', LENGTH]],
  ['a line without a colon', ['Odd', LENGTH]],
  ['a line that begins with a blank', [' Odd: x', LENGTH]],
  ['a blank before the colon', ['Odd : x', LENGTH]],
  ['a tab before the colon', ['Odd\t: x', LENGTH]],
  ['a length whose name ends with a blank', ['Content-Length : 4']],
  ['a length whose name begins with a control byte', ['\u0001Content-Length: 4', LENGTH]],
  ['chunks whose name ends with a blank', ['Transfer-Encoding : chunked']],
  ['two lengths', [LENGTH, 'Content-Length: 2']],
  ['a length that is no number', ['Content-Length: 4x']],
  ['a negative length', ['Content-Length: -4']],
  ['a length and chunks', [LENGTH, 'Transfer-Encoding: chunked']],
  ['chunks before another coding', ['Transfer-Encoding: chunked, gzip', LENGTH]],
  ['NUL in a value', ['Odd: a\0b', LENGTH]],
  ['a control byte in a value', ['Odd: a\u0001b', LENGTH]],
  ['byte 7f in a value', ['Odd: a\u007fb', LENGTH]],
  ['a carriage return in a value', ['Odd: a\rb', LENGTH]],
];

const oddStatuses = [
  '000 None',
  '099 None',
  '600 None',
  '700 None',
  '999 None',
  '20 Few',
  '2000 Many',
];

const oddHeads: readonly (readonly [string, Behaviour])[] = [
  ...oddLines.map(([name, lines]) => [name, writesHead('200 OK', [...lines, 'After: x'])] as const),
  ...oddStatuses.map(status => [`status ${status}`, writesHead(status, [LENGTH])] as const),
];

/** Sends a head as single bytes, and a body. */
function writesHead(status: string, headerLines: readonly string[]): Behaviour {
  return (socket, request) => {
    socket.setDefaultEncoding('latin1');
    respondsWithHeaders(status, headerLines, 'body')(socket, request);
    socket.end();
  };
}

// Guards against: an odd head or status of a replica in trouble reached callers as a response.
describe('a head that no sound replica sends', () => {
  it.each(oddHeads)('is no response to an unsafe request: %s', async (_name, behaviour) => {
    const fixture = await startGateway(unsafeRoute, [[behaviour]]);
    const response = await fixture.send();
    expect(response.status).toBe(502);
    expect(response.body).not.toContain('body');
    expect(response.headers).not.toHaveProperty('after');
    expect(response.headers).not.toHaveProperty('server-stamp');
    expect(countRuns(fixture)).toBe(1);
  });

  it.each(oddHeads)('is no response to a streaming request: %s', async (_name, behaviour) => {
    const fixture = await startGateway(streamRoute, [[behaviour]]);
    expect((await fixture.send()).status).toBe(502);
  });

  it.each(oddHeads)('keeps no safe request from another replica: %s', async (_name, behaviour) => {
    const replica = [inOrder(behaviour, responds('done'))];
    const fixture = await startGateway(safeRoute, [replica, replica]);
    expect(await fixture.send()).toMatchObject({ body: 'done', status: 200 });
  });

  it.each(oddHeads)('never goes on with a stream: %s', async (_name, behaviour) => {
    const replica = [inOrder(streamsEvents([1, 2], 'break'), behaviour)];
    const fixture = await startGateway(resumableRoute, [replica, replica]);
    const response = await fixture.send();
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2']);
    expect(response).toMatchObject({ isComplete: false, status: 200 });
  });
});
