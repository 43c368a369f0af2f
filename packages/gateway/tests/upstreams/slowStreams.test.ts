import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { startGateway, streamRoute, waitUntil } from '../support/gatewayFixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nContent-Type: text/event-stream\r\n';
/** Pause between two events of a slow but sound stream, in milliseconds: longer than idle connections live. */
const EVENT_PAUSE_MILLISECONDS = 2_700;
const BYTE_PAUSE_MILLISECONDS = 50;
const TIMEOUT_MILLISECONDS = 1_000;

function writeHead(request: Parameters<Behaviour>[1]): string {
  const id = request.headers.get('request-id') ?? '';
  return `${HEAD}Request-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

function writeChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Sends two events with a long pause between them. */
const pausesBetweenEvents: Behaviour = (socket, request) => {
  socket.write(`${writeHead(request)}${writeChunk('id: 1\ndata: piece 1\n\n')}`);
  setTimeout(() => {
    socket.write(`${writeChunk('id: 2\ndata: piece 2\n\n')}0\r\n\r\n`);
  }, EVENT_PAUSE_MILLISECONDS);
};

/** Sends one byte of an event now and then, and never its end. */
const tricklesForEver: Behaviour = (socket, request) => {
  socket.write(writeHead(request));
  const timer = setInterval(() => socket.write(writeChunk('x')), BYTE_PAUSE_MILLISECONDS);
  socket.once('close', () => {
    clearInterval(timer);
  });
};

describe('a stream', () => {
  it('that is slow but sound is never cut before the time of its route', async () => {
    const route = { ...streamRoute, timeoutMilliseconds: 10_000 };
    const fixture = await startGateway(route, [[pausesBetweenEvents]]);
    const response = await fixture.send({ headers: { remaining: '10000' } });
    expect(response).toMatchObject({ isComplete: true, status: 200 });
    expect(response.body).toContain('piece 2');
  });

  it('that sends a byte now and then ends with the time of its route, at the replica too', async () => {
    const route = { ...streamRoute, timeoutMilliseconds: TIMEOUT_MILLISECONDS };
    const fixture = await startGateway(route, [[tricklesForEver]]);
    const response = await fixture.send({ headers: { remaining: '60000' } });
    expect(response.isComplete && response.status === 200).toBe(false);
    await waitUntil(() => fixture.replicas[0]!.closedConnections === 1);
  });
});
