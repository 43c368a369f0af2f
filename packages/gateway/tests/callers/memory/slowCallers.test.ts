import { SystemTimerService } from '@zincring/core';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';

import type { Behaviour } from '../../support/fakeReplica.js';
import type { GatewayFixture } from '../../support/gatewayFixture.js';

import { HeldMemory } from '../../../src/callers/memory/heldMemory.js';
import { RequestBody } from '../../../src/listeners/requestBody.js';
import { neverResponds, responds } from '../../support/fakeReplica.js';
import { safeRoute, startGateway, streamRoute, waitUntil } from '../../support/gatewayFixture.js';

/** Far more than the buffers of the sockets between replica and caller hold. */
const EVENTS = { bytes: 60_000, count: 400 };
const eventData = 'x'.repeat(EVENTS.bytes);

/** Streams large events as fast as they are read, and records when the last one has been. */
function streamsLargeEvents(onRead: () => void): Behaviour {
  return (socket, request) => {
    const id = request.headers.get('request-id') ?? '';
    const head =
      'HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nContent-Type: text/event-stream\r\n' +
      `Request-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
    socket.write(head);
    for (let index = 1; index <= EVENTS.count; index++) {
      const event = `id: ${String(index)}\ndata: ${eventData}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    socket.write('0\r\n\r\n', onRead);
  };
}

const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy());
});

/** Sends requests on one connection and reads nothing of their responses until the socket is resumed. */
function sendWithoutReading({ gateway }: GatewayFixture, ...bodies: readonly string[]): Socket {
  const socket = connect(gateway.ports.callers, '127.0.0.1');
  sockets.push(socket);
  socket.pause();
  socket.on('error', () => undefined);
  (bodies.length === 0 ? [''] : bodies).forEach((body, index) => {
    socket.write(
      `POST /summaries/7 HTTP/1.1\r\nHost: agents.example\r\nkey: key-of-clerks\r\nrequest-id: request-${String(index)}\r\n` +
        `remaining: 60000\r\nContent-Length: ${String(body.length)}\r\n\r\n${body}`,
    );
  });
  return socket;
}

const longRoute = { ...streamRoute, timeoutMilliseconds: 60_000 };

describe('a caller that reads slowly', () => {
  it('is not sent more than may be held for it, and receives all of the response', async () => {
    let isRead = false;
    const behaviour = streamsLargeEvents(() => {
      isRead = true;
    });
    const fixture = await startGateway(longRoute, [[behaviour]], { memoryBytes: 400_000_000 });
    const socket = sendWithoutReading(fixture);
    await waitUntil(() => fixture.replicas[0]!.receivedRequests.length === 1);
    await new Promise(resolve => setTimeout(resolve, 500));
    expect(isRead).toBe(false);
    let received = 0;
    let tail = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
      tail = (tail + chunk.toString('latin1')).slice(-5);
    });
    socket.resume();
    await waitUntil(() => isRead && tail === '0\r\n\r\n');
    expect(received).toBeGreaterThan(EVENTS.bytes * EVENTS.count);
  });
});

describe('an instance whose memory is full', () => {
  it('refuses further requests, which have not run, and serves again afterwards', async () => {
    const fixture = await startGateway(
      { ...safeRoute, timeoutMilliseconds: 60_000 },
      [[neverResponds]],
      {
        memoryBytes: 4_000,
      },
    );
    const holder = sendWithoutReading(fixture, 'x'.repeat(2_000));
    await waitUntil(() => fixture.replicas[0]!.receivedRequests.length === 1);
    const refused = await fixture.send({ body: 'y'.repeat(100) });
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({ kind: 'instance-memory-full', ran: 'no' });
    expect(fixture.replicas[0]!.receivedRequests.length).toBe(1);
    holder.destroy();
    await waitUntil(() => fixture.replicas[0]!.closedConnections === 1);
    void fixture.send({ body: 'z', disconnectAfterMilliseconds: 2_000 }).catch(() => undefined);
    await waitUntil(() => fixture.replicas[0]!.receivedRequests.length === 2);
  });

  it('forgets pipelined requests whose caller left', async () => {
    const route = { ...safeRoute, timeoutMilliseconds: 60_000 };
    const fixture = await startGateway(route, [[neverResponds, neverResponds, responds('done')]], {
      memoryBytes: 4_000,
    });
    const pipeline = sendWithoutReading(fixture, 'x'.repeat(500), 'y'.repeat(1_000));
    await waitUntil(() => fixture.replicas[0]!.receivedRequests.length === 2);
    pipeline.destroy();
    await waitUntil(() => fixture.replicas[0]!.closedConnections === 2);
    expect(await fixture.send({ body: 'z' })).toMatchObject({ body: 'done', status: 200 });
  });

  it('does not count what it dropped of a body that is still arriving', async () => {
    const memory = new HeldMemory({ capacityBytes: 1_000 });
    const headers = { 'transfer-encoding': 'chunked' };
    const request = Object.assign(new PassThrough(), { headers });
    const pendingBody = new RequestBody(
      request as unknown as IncomingMessage,
      new PassThrough() as unknown as ServerResponse,
      { maximumBytes: 10_000, memory, timers: new SystemTimerService() },
    ).read();
    const release = memory.hold(500);
    for (let index = 0; index < 2; index++) {
      request.write(Buffer.alloc(600));
      await setImmediate();
    }
    expect(memory.bytes).toBe(500);
    release();
    request.destroy();
    expect((await pendingBody).val).toBe('broken');
  });
});
