import type { Socket } from 'node:net';

import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import type { GatewayFixture } from '../support/gatewayFixture.js';

import { neverResponds, responds } from '../support/fakeReplica.js';
import { safeRoute, startGateway, waitUntil } from '../support/gatewayFixture.js';

const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy());
});

interface RawCaller {
  readonly isClosed: () => boolean;
  readonly text: () => string;
  readonly socket: Socket;
}

function openCaller({ gateway }: GatewayFixture): RawCaller {
  const socket = connect(gateway.ports.callers, '127.0.0.1');
  sockets.push(socket);
  let isClosed = false;
  let text = '';
  socket.setEncoding('latin1');
  socket.on('data', (more: string) => (text += more));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  return { isClosed: () => isClosed, socket, text: () => text };
}

function makeRequest(index: number, framing: string, body = '', key = 'key-of-clerks'): string {
  return (
    `POST /summaries/${String(index)} HTTP/1.1\r\nHost: agents.example\r\nKey: ${key}\r\n` +
    `Request-Id: request-${String(index)}\r\n${framing}\r\n\r\n${body}`
  );
}

const CHUNKED = 'Transfer-Encoding: chunked';
const allDone = Array.from({ length: 20 }, () => responds('done'));

describe('requests that are sent ahead on one connection', () => {
  it.each([
    ['with a length', (index: number) => makeRequest(index, 'Content-Length: 5', 'input')],
    [
      'in chunks',
      (index: number) => makeRequest(index, CHUNKED, '2\r\nin\r\n3\r\nput\r\n0\r\n\r\n'),
    ],
    ['without a body', (index: number) => makeRequest(index, 'Content-Length: 0')],
  ])('are all answered, each with its body (%s)', async (_name, make) => {
    const fixture = await startGateway(safeRoute, [allDone]);
    const caller = openCaller(fixture);
    caller.socket.write(Array.from({ length: 20 }, (_unused, index) => make(index)).join(''));
    await waitUntil(() => caller.text().split('done').length === 21);
    const runs = fixture.replicas[0]!.receivedRequests;
    expect(runs.map(({ body }) => body)).toEqual(
      Array.from({ length: 20 }, () => (_name === 'without a body' ? '' : 'input')),
    );
  });

  // Guards against a client that makes the instance work on all that it sends before it reads an answer.
  it('wait unread while four of them are in progress', async () => {
    const route = { ...safeRoute, timeoutMilliseconds: 60_000 };
    const fixture = await startGateway(route, [Array.from({ length: 20 }, () => neverResponds)]);
    const caller = openCaller(fixture);
    const requests = Array.from({ length: 20 }, (_unused, index) =>
      makeRequest(index, 'Content-Length: 0'),
    );
    caller.socket.write(requests.join(''));
    await waitUntil(() => fixture.replicas[0]!.receivedRequests.length === 4);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(fixture.replicas[0]!.receivedRequests.length).toBe(4);
  });
});

describe('a body at the limits', () => {
  it('is served when it arrives in chunks of one byte', async () => {
    const fixture = await startGateway(safeRoute, [[responds('done')]]);
    const caller = openCaller(fixture);
    caller.socket.write(makeRequest(1, CHUNKED, `${'1\r\nx\r\n'.repeat(4_096)}0\r\n\r\n`));
    await waitUntil(() => caller.text().endsWith('done'));
    expect(fixture.replicas[0]!.receivedRequests[0]!.body).toBe('x'.repeat(4_096));
  });

  // Guards against a refused request whose body is read without end, and against a refusal that is not sent.
  it.each([
    ['a wrong key', 'wrong', '401 Unauthorized'],
    ['a key', 'key-of-clerks', '413 Payload Too Large'],
  ])(
    'is refused when it goes on beyond them, with %s, and has not run',
    async (_name, key, status) => {
      const fixture = await startGateway(safeRoute, [[responds('done')]]);
      const caller = openCaller(fixture);
      caller.socket.write(
        makeRequest(1, CHUNKED, `400\r\n${'x'.repeat(1_024)}\r\n`.repeat(6), key),
      );
      await waitUntil(() => caller.text().includes('\r\n\r\n') && caller.isClosed());
      expect(caller.text()).toContain(`HTTP/1.1 ${status}\r\n`);
      expect(caller.text()).toMatch(/^connection: close\r$/im);
      expect(fixture.replicas[0]!.receivedRequests.length).toBe(0);
    },
  );
});
