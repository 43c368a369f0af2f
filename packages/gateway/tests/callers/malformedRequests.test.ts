import type { Socket } from 'node:net';

import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';

import { responds } from '../support/fakeReplica.js';
import { startGateway, unsafeRoute, waitUntil } from '../support/gatewayFixture.js';

const REQUEST =
  'POST /summaries/7 HTTP/1.1\r\nHost: agents.example\r\nKey: key-of-clerks\r\nRequest-Id: request-1\r\nContent-Length: 5\r\n\r\ninput';

function readAll(socket: Socket): {
  readonly isClosed: () => boolean;
  readonly text: () => string;
} {
  let isClosed = false;
  let text = '';
  socket.setEncoding('latin1');
  socket.on('data', (more: string) => (text += more));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  return { isClosed: () => isClosed, text: () => text };
}

describe('bytes that are no request', () => {
  it('behind a running request never get their refusal taken for its response', async () => {
    const fixture = await startGateway(unsafeRoute, [
      [
        (socket, request) => {
          setTimeout(() => {
            responds('done')(socket, request);
          }, 200);
        },
      ],
    ]);
    const socket = connect(fixture.gateway.ports.callers, '127.0.0.1');
    const received = readAll(socket);
    socket.write(REQUEST);
    await waitUntil(() => fixture.replicas[0]!.receivedRequests.length === 1);
    socket.write('no request at all\r\n\r\n');
    await waitUntil(received.isClosed);
    expect(received.text()).toMatch(/^HTTP\/1\.1 200 OK\r\n(?:.+\r\n)+\r\ndone$/);
  });

  it.each([
    ['alone', '', ''],
    ['behind a request that was answered', REQUEST, 'done'],
  ])('are refused %s', async (_name, earlier, answer) => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const socket = connect(fixture.gateway.ports.callers, '127.0.0.1');
    const received = readAll(socket);
    socket.write(earlier);
    await waitUntil(() => received.text().endsWith(answer));
    socket.write('no request at all\r\n\r\n');
    await waitUntil(received.isClosed);
    expect(received.text()).toMatch(/HTTP\/1\.1 400 Bad Request\r\n(?:.+\r\n)+\r\n$/);
  });
});
