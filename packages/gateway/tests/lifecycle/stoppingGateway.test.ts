import type { IncomingMessage } from 'node:http';

import { Agent, request as startRequest } from 'node:http';
import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';

import { neverResponds, responds, streamsEvents } from '../support/fakeReplica.js';
import {
  countRuns,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
  waitUntil,
} from '../support/gatewayFixture.js';

/** Time of a caller that ends before the grace period of the fixture. */
const SHORT_TIME = { remaining: '500' };
/** Time of a caller that ends after it. */
const LONG_TIME = { remaining: '3000' };

const refusal = {
  body: expect.stringContaining('instance-stopping') as string,
  isComplete: true,
  status: 503,
};

// Guards against: requests were accepted late in the grace period and cut at its end (review/3).
describe('a gateway that stops', () => {
  it.each([
    ['an unsafe request', unsafeRoute],
    ['a safe request', safeRoute],
    ['a stream', streamRoute],
  ])(
    'refuses %s that may last longer than the gateway and does not send it',
    async (_name, route) => {
      const fixture = await startGateway(route, [[responds('done')]]);
      const stopped = fixture.gateway.stop();
      const response = await fixture.send({ headers: { ...LONG_TIME, connection: 'keep-alive' } });
      expect(response).toMatchObject(refusal);
      expect(response.headers).toMatchObject({ connection: 'close', 'retry-after': '0.03' });
      expect(countRuns(fixture)).toBe(0);
      await stopped;
    },
  );

  it('serves a request whose time ends before the gateway', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const stopped = fixture.gateway.stop();
    const response = await fixture.send({ headers: { ...SHORT_TIME, connection: 'keep-alive' } });
    expect(response).toMatchObject({ body: 'done', status: 200 });
    expect(response.headers.connection).toBe('close');
    await stopped;
  });

  it('refuses a request whose body arrives after the stop began', async () => {
    const fixture = await startGateway(unsafeRoute, [[responds('done')]]);
    const outgoing = startRequest({
      headers: {
        ...LONG_TIME,
        'content-length': 5,
        host: 'agents.example',
        key: 'key-of-clerks',
        'request-id': 'request-1',
      },
      host: '127.0.0.1',
      method: 'POST',
      path: '/summaries/7',
      port: fixture.gateway.ports.callers,
    });
    const status = new Promise(resolve => {
      outgoing.on('response', response => {
        response.resume();
        resolve(response.statusCode);
      });
    });
    outgoing.write('inp');
    await new Promise(resolve => setTimeout(resolve, 50));
    const stopped = fixture.gateway.stop();
    outgoing.end('ut');
    expect(await status).toBe(503);
    expect(countRuns(fixture)).toBe(0);
    await stopped;
  });

  it.each([
    ['unsafe requests', unsafeRoute, responds('done')],
    ['safe requests', safeRoute, responds('done')],
    ['streams', streamRoute, streamsEvents([1, 2], 'whole')],
  ])('cuts off none of the %s that open connections send until it is gone', async (...row) => {
    const [, route, behaviour] = row;
    const works: Behaviour = (socket, request) => {
      setTimeout(() => {
        behaviour(socket, request);
      }, BUSY_CALLERS.workMilliseconds);
    };
    const fixture = await startGateway(route, [[works], [works]]);
    const ends: (readonly [string, string])[] = [];
    const callers = Array.from({ length: BUSY_CALLERS.count }, async (_unused, caller) => {
      await new Promise(resolve => setTimeout(resolve, caller * 20));
      await sendUntilGone(fixture.gateway.ports.callers, caller, (id, end) => {
        ends.push([id, end]);
      });
    });
    await new Promise(resolve => setTimeout(resolve, BUSY_CALLERS.workMilliseconds));
    await fixture.gateway.stop();
    await Promise.all(callers);
    const run = new Set(
      fixture.replicas.flatMap(({ receivedRequests }) =>
        receivedRequests.map(({ headers }) => headers.get('request-id')),
      ),
    );
    expect(ends.filter(([id, end]) => run.has(id) !== (end === '200'))).toEqual([]);
    expect(ends.filter(([, end]) => end === '503')).not.toEqual([]);
  });

  it('answers a request that is still in flight at its end', async () => {
    const fixture = await startGateway(unsafeRoute, [[neverResponds]]);
    const response = fixture.send({ headers: LONG_TIME });
    await waitUntil(() => countRuns(fixture) === 1);
    await fixture.gateway.stop();
    expect(await response).toMatchObject({ isComplete: true, status: 502 });
  });

  it('breaks off a stream that is still in flight at its end', async () => {
    const fixture = await startGateway(streamRoute, [[streamsEvents([1, 2], 'stall')]]);
    const response = fixture.send({ headers: LONG_TIME });
    await waitUntil(() => countRuns(fixture) === 1);
    await fixture.gateway.stop();
    expect(await response).toMatchObject({ isComplete: false, status: 200 });
  });

  it('completes a stop that is requested again', async () => {
    const delayed: Behaviour = (socket, request) => {
      setTimeout(() => {
        responds('late')(socket, request);
      }, 300);
    };
    const fixture = await startGateway(unsafeRoute, [[delayed]]);
    const response = fixture.send({ headers: SHORT_TIME });
    await waitUntil(() => countRuns(fixture) === 1);
    let isAnswered = false;
    void response.then(() => {
      isAnswered = true;
    });
    void fixture.gateway.stop();
    await fixture.gateway.stop();
    expect(isAnswered).toBe(true);
    expect(await response).toMatchObject({ body: 'late', status: 200 });
  });

  it('answers each request that a connection sent before its last response', async () => {
    const delayed: Behaviour = (socket, request) => {
      setTimeout(() => {
        responds(`to ${request.path}`)(socket, request);
      }, 200);
    };
    const fixture = await startGateway(safeRoute, [[delayed], [delayed]]);
    const connection = connect(fixture.gateway.ports.callers, '127.0.0.1');
    let received = '';
    connection.setEncoding('utf8').on('data', (text: string) => (received += text));
    const closed = new Promise(resolve => connection.once('close', resolve));
    connection.write(formatRequest('/summaries/1') + formatRequest('/summaries/2'));
    await waitUntil(() => countRuns(fixture) === 2);
    const stopped = fixture.gateway.stop();
    await closed;
    expect(received.match(/to \/summaries\/\d/g)).toEqual(['to /summaries/1', 'to /summaries/2']);
    expect(received.match(/Connection: close/g)).toHaveLength(1);
    await stopped;
  });

  it('sends no request to a replica that its connection sent after its last response began', async () => {
    const fixture = await startGateway(streamRoute, [[streamsEvents([1], 'stall')]]);
    const stopped = fixture.gateway.stop();
    const connection = connect(fixture.gateway.ports.callers, '127.0.0.1');
    let received = '';
    connection.setEncoding('utf8').on('data', (text: string) => (received += text));
    connection.write(formatRequest('/summaries/1'));
    await waitUntil(() => received.includes('Connection: close'));
    connection.write(formatRequest('/summaries/2'));
    await stopped;
    expect(countRuns(fixture)).toBe(1);
    connection.destroy();
  });
});

/** Callers with a connection each; a request that is accepted late in the grace period would outlast it. */
const BUSY_CALLERS = { allowedMilliseconds: 800, count: 20, workMilliseconds: 500 };

/** Sends one request after the other over an open connection until the port refuses connections. */
async function sendUntilGone(
  port: number,
  caller: number,
  record: (id: string, end: string) => void,
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let index = 0; ; index++) {
    const id = `${String(caller)}-${String(index)}`;
    const end = await sendOver(agent, port, id);
    if (end === 'ECONNREFUSED') {
      agent.destroy();
      return;
    }
    record(id, end);
  }
}

async function sendOver(agent: Agent, port: number, id: string): Promise<string> {
  const headers = {
    host: 'agents.example',
    key: 'key-of-clerks',
    'request-id': id,
    remaining: String(BUSY_CALLERS.allowedMilliseconds),
  };
  return await new Promise(resolve => {
    const outgoing = startRequest({
      agent,
      headers,
      host: '127.0.0.1',
      path: `/summaries/${id}`,
      port,
    });
    outgoing.on('error', failure => {
      resolve((failure as NodeJS.ErrnoException).code ?? failure.message);
    });
    outgoing.on('response', (response: IncomingMessage) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => {
        resolve(response.complete ? String(response.statusCode) : 'cut');
      });
    });
    outgoing.end();
  });
}

function formatRequest(path: string): string {
  return [
    `GET ${path} HTTP/1.1`,
    'host: agents.example',
    'key: key-of-clerks',
    `request-id: of-${path}`,
    'remaining: 500',
    '',
    '',
  ].join('\r\n');
}
