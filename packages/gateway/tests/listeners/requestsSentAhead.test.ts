import type { Socket } from 'node:net';

import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';

import { neverResponds, responds } from '../support/fakeReplica.js';
import { safeRoute, startGateway, unsafeRoute, waitUntil } from '../support/gatewayFixture.js';

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

describe('requests behind one that is refused or closed', () => {
  const length = (index: number): string => makeRequest(index, 'Content-Length: 5', 'input');

  // Guards against a refusal that says "not run" while what was sent behind it runs unanswered.
  it.each([
    ['whole', 'are served', ['413', '200', '200']],
    ['unfinished', 'do not run', ['413']],
  ])('behind a %s body that is too large %s', async (kind, _what, statuses) => {
    const fixture = await startGateway(unsafeRoute, [allDone]);
    const caller = openCaller(fixture);
    const body = `400\r\n${'x'.repeat(1_024)}\r\n`.repeat(6);
    caller.socket.write(makeRequest(1, CHUNKED, kind === 'whole' ? `${body}0\r\n\r\n` : body));
    if (kind === 'unfinished') {
      await waitUntil(() => caller.text().includes('413'));
      caller.socket.write('0\r\n\r\n');
    }
    caller.socket.write(length(2) + length(3));
    await new Promise(resolve => setTimeout(resolve, 500));
    expect([...caller.text().matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1])).toEqual(
      statuses,
    );
    expect(fixture.replicas[0]!.receivedRequests.length).toBe(statuses.length - 1);
  });

  it('do not run behind bytes that are no request', async () => {
    const fixture = await startGateway(unsafeRoute, [allDone]);
    const caller = openCaller(fixture);
    caller.socket.write(`no request at all\r\n\r\n${length(2)}${length(3)}`);
    await waitUntil(caller.isClosed);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(caller.text()).toMatch(/^HTTP\/1\.1 400 /);
    expect(fixture.replicas[0]!.receivedRequests.length).toBe(0);
  });

  it('are each answered or never run when those before them are refused with a wrong key', async () => {
    const fixture = await startGateway(unsafeRoute, [allDone]);
    const caller = openCaller(fixture);
    const wrong = makeRequest(1, 'Content-Length: 5', 'input', 'wrong');
    caller.socket.write(wrong + length(2) + wrong + length(3));
    await waitUntil(() => caller.text().split('done').length === 3);
    expect(caller.text().match(/HTTP\/1\.1 \d+/g)).toEqual(
      [401, 200, 401, 200].map(status => `HTTP/1.1 ${String(status)}`),
    );
    expect(fixture.replicas[0]!.receivedRequests.length).toBe(2);
  });

  it('wait as long as the caller of the refused one is told to', async () => {
    const fixture = await startGateway(unsafeRoute, [allDone]);
    fixture.removeReplica(0);
    await new Promise(resolve => setTimeout(resolve, 3_000));
    const caller = openCaller(fixture);
    const startedAt = performance.now();
    caller.socket.write(Array.from({ length: 12 }, (_unused, index) => length(index)).join(''));
    await waitUntil(() => caller.text().split('HTTP/1.1 503').length === 13);
    // Four begin at once, and each of the others waits for the 150 ms of those before it.
    expect(performance.now() - startedAt).toBeGreaterThan(150);
  });
});

describe('a caller that leaves in the middle of a body', () => {
  it.each([
    ['with a length', makeRequest(1, 'Content-Length: 5', 'in')],
    ['in chunks', makeRequest(1, CHUNKED, '2\r\nin\r\n')],
  ])('has run nothing (%s)', async (_name, text) => {
    const fixture = await startGateway(unsafeRoute, [allDone]);
    const caller = openCaller(fixture);
    caller.socket.write(text);
    await new Promise(resolve => setTimeout(resolve, 100));
    caller.socket.destroy();
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(fixture.replicas[0]!.receivedRequests.length).toBe(0);
  });
});

describe('responses that their callers do not read', () => {
  const large = 'x'.repeat(900_000);
  const MEGABYTE = 1_000_000;
  /** More than the buffers of the sockets take over. */
  const RESPONSES_EACH = 12;
  const CROWD = 10;

  function askForLarge({ socket }: RawCaller, name: number): void {
    socket.pause();
    const requests = Array.from({ length: RESPONSES_EACH }, (_unused, index) =>
      makeRequest(100 * name + index, 'Content-Length: 0'),
    );
    socket.write(requests.join('').replaceAll(' HTTP/1.1', '/large HTTP/1.1'));
  }

  // Guards against a slow reader that loses its response, and against ordinary callers that are kept out.
  it('are kept while their memory is full, and ordinary requests are served', async () => {
    const behaviour: Behaviour = (socket, request) => {
      responds(request.path.endsWith('/large') ? large : 'done')(socket, request);
    };
    const fixture = await startGateway(safeRoute, [[behaviour]], { memoryBytes: 60 * MEGABYTE });
    const slow = openCaller(fixture);
    askForLarge(slow, 0);
    await new Promise(resolve => setTimeout(resolve, 500));
    const completeCount = fixture.replicas[0]!.receivedRequests.length;
    for (let member = 1; member <= CROWD; member++) {
      askForLarge(openCaller(fixture), member);
    }
    await new Promise(resolve => setTimeout(resolve, 2_500));
    expect(await fixture.send()).toMatchObject({ body: 'done', status: 200 });
    slow.socket.resume();
    const countRead = (): number => slow.text().split(large).length - 1;
    await waitUntil(() => slow.isClosed() || countRead() >= completeCount);
    expect(countRead()).toBeGreaterThanOrEqual(completeCount);
  });
});
