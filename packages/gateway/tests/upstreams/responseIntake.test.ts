import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { respondsUnframed, respondsWithHeaders, responds } from '../support/fakeReplica.js';
import {
  countRuns,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
  waitUntil,
} from '../support/gatewayFixture.js';

/** Larger than what is parsed as it arrives, than one turn, and than what is read ahead. */
const LARGE_BODY = Array.from({ length: 40_000 }, (_unused, index) => `${String(index)} `).join('');
const CHUNKED = 'Transfer-Encoding: chunked';

function inChunks(body: string, size: number): string {
  const chunks: string[] = [];
  for (let start = 0; start < body.length; start += size) {
    const chunk = body.slice(start, start + size);
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  return `${chunks.join('')}0\r\n\r\n`;
}

const framings: readonly (readonly [string, Behaviour, boolean])[] = [
  ['with a length', responds(LARGE_BODY), true],
  ['in one chunk', respondsWithHeaders('200 OK', [CHUNKED], inChunks(LARGE_BODY, 1e6)), true],
  [
    'in chunks of one byte',
    respondsWithHeaders('200 OK', [CHUNKED], inChunks(LARGE_BODY, 1)),
    true,
  ],
  ['unframed', respondsUnframed(LARGE_BODY, 'close'), false],
];

describe('a large response', () => {
  it.each(framings)(
    'is whole, and its connection is used again: %s',
    async (_name, behaviour, isKept) => {
      const fixture = await startGateway(safeRoute, [[behaviour]]);
      for (let request = 0; request < 3; request++) {
        expect(await fixture.send()).toMatchObject({
          body: LARGE_BODY,
          isComplete: true,
          status: 200,
        });
      }
      const [replica] = fixture.replicas;
      expect(replica!.closedConnections === 0).toBe(isKept);
    },
  );

  it.each([
    ['in large chunks', 5_000],
    ['in chunks of one byte', 1],
  ])('is a whole stream: %s', async (_name, size) => {
    const events = Array.from({ length: 9_000 }, (_unused, id) => `id: ${String(id)}\ndata: x\n\n`);
    const headerLines = ['Content-Type: text/event-stream', CHUNKED];
    const body = inChunks(events.join(''), size);
    const fixture = await startGateway(streamRoute, [
      [respondsWithHeaders('200 OK', headerLines, body)],
    ]);
    expect(await fixture.send()).toMatchObject({
      body: events.join(''),
      isComplete: true,
      status: 200,
    });
  });

  it('is whole when bytes follow it, which close the connection', async () => {
    const surplus = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
    const headerLines = [`Content-Length: ${String(LARGE_BODY.length)}`];
    const fixture = await startGateway(unsafeRoute, [
      [respondsWithHeaders('200 OK', headerLines, LARGE_BODY + surplus)],
    ]);
    expect(await fixture.send()).toMatchObject({ body: LARGE_BODY, status: 200 });
    expect(await fixture.send()).toMatchObject({ body: LARGE_BODY, status: 200 });
    const [replica] = fixture.replicas;
    await waitUntil(() => replica!.closedConnections === 2);
    expect(countRuns(fixture)).toBe(2);
  });
});
