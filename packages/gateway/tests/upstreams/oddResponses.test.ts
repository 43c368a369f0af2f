import { silentLogger } from '@zincring/core';
import { PeerClients } from '../../src/peers/peerClients.js';
import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { responds } from '../support/fakeReplica.js';
import {
  countRuns,
  safeRoute,
  send,
  startGateway,
  streamRoute,
  unsafeRoute,
} from '../support/gatewayFixture.js';
import { startStranger } from '../support/startStranger.js';

const UPGRADE = 'Connection: Upgrade\r\nUpgrade: other\r\n';
/** Bytes that are no response, although most of them begin like one. */
const oddResponses: readonly (readonly [string, string])[] = [
  ['a switch of protocols', `HTTP/1.1 101 Switching Protocols\r\n${UPGRADE}\r\n`],
  ['a switch with more bytes', `HTTP/1.1 101 Switching Protocols\r\n${UPGRADE}\r\nmore`],
  ['a switch to nothing', 'HTTP/1.1 101 Switching Protocols\r\n\r\n'],
  ['an upgrade with status 200', `HTTP/1.1 200 OK\r\n${UPGRADE}Content-Length: 0\r\n\r\n`],
  ['an informational response alone', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['a leave to go on alone', 'HTTP/1.1 100 Continue\r\n\r\n'],
  ['status 000', 'HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n'],
  ['status 099', 'HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n'],
  ['status 600', 'HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n'],
  ['status 700', 'HTTP/1.1 700 None\r\nContent-Length: 4\r\n\r\nbody'],
  ['status 999', 'HTTP/1.1 999 None\r\nContent-Length: 0\r\n\r\n'],
  ['a status of four digits', 'HTTP/1.1 1000 Many\r\nContent-Length: 0\r\n\r\n'],
  ['a status of two digits', 'HTTP/1.1 20 Few\r\nContent-Length: 0\r\n\r\n'],
  ['a negative status', 'HTTP/1.1 -1 Less\r\nContent-Length: 0\r\n\r\n'],
  ['another version', 'HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n'],
];
/** Time that the callers wait, and within which each must have its response, in milliseconds. */
const REMAINING_MILLISECONDS = 700;
const MAXIMUM_MILLISECONDS = 1_500;
/** Time after which the metrics show what is in flight, in milliseconds. */
const METRICS_MILLISECONDS = 1_100;

function writes(text: string): Behaviour {
  return socket => {
    socket.write(text);
  };
}

async function readInFlight(port: number): Promise<readonly string[]> {
  await new Promise(resolve => setTimeout(resolve, METRICS_MILLISECONDS));
  const { body } = await send(port, { method: 'GET', path: '/metrics' });
  return body.split('\n').filter(line => line.startsWith('zincring_in_flight{'));
}

describe('bytes that are no response', () => {
  it.each([unsafeRoute, streamRoute])('end a $kind request by its deadline', async route => {
    const behaviours = oddResponses.map(([, text]) => writes(text));
    const fixture = await startGateway(route, [behaviours]);
    for (const [name] of oddResponses) {
      const startedAt = performance.now();
      const headers = { remaining: String(REMAINING_MILLISECONDS) };
      const { status } = await fixture.send({ body: name, headers });
      expect([502, 504], name).toContain(status);
      expect(performance.now() - startedAt, name).toBeLessThan(MAXIMUM_MILLISECONDS);
    }
    expect(countRuns(fixture)).toBe(oddResponses.length);
    const inFlight = await readInFlight(fixture.gateway.ports.metrics);
    expect(inFlight).toHaveLength(4);
    expect(inFlight.filter(line => !line.endsWith(' 0'))).toEqual([]);
  });

  it.each(oddResponses.slice(0, 3))(
    'keep no safe request from another replica: %s',
    async (_name, text) => {
      const fixture = await startGateway(safeRoute, [[writes(text)], [responds('done')]]);
      expect((await fixture.send()).body).toBe('done');
    },
  );

  it.each(oddResponses)('make another instance unreachable: %s', async (_name, text) => {
    const stranger = await startStranger(socket => socket.once('data', () => socket.write(text)));
    const clients = new PeerClients(silentLogger);
    const reply = await clients
      .at(`127.0.0.1:${String(stranger.port)}`)
      .acquireOwned({ burst: 20, name: 'clerks', ratePerSecond: 10 });
    expect(reply).toEqual({ kind: 'unreachable' });
    clients.close();
    stranger.close();
  });
});
