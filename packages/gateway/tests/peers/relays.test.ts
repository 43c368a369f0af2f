import type { Region } from '@zincring/core';
import type { Socket } from 'node:net';

import { ResponseTurns, silentLogger, SystemTimerService } from '@zincring/core';
import { createServer } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';

import type { RelayTarget } from '../../src/peers/relayServer.js';
import type { ReplicaEntry } from '../../src/upstreams/replica.js';
import type { ReplicaRequest } from '../../src/upstreams/replicaExchange.js';
import type { RelayOutcome } from '../../src/upstreams/replicaTransport.js';
import type { StreamEnd } from '../../src/upstreams/streamRelay.js';
import type { Behaviour, ConnectionEnd } from '../support/fakeReplica.js';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';
import { PeerServer } from '../../src/peers/peerServer.js';
import { RelayCandidates } from '../../src/peers/relayCandidates.js';
import { RelayClient } from '../../src/peers/relayClient.js';
import { decodeRelayedRequest } from '../../src/peers/relayProtocol.js';
import { RelayServer } from '../../src/peers/relayServer.js';
import { ReplicaAgent } from '../../src/upstreams/replicaAgent.js';
import { exchangeWithReplica } from '../../src/upstreams/replicaExchange.js';
import { relayStream } from '../../src/upstreams/streamRelay.js';
import { getPort, listenOn } from '../../src/util/listen.js';
import { readBoundedBody } from '../../src/util/readBoundedBody.js';
import { makeOwner } from '../support/fakePeer.js';
import {
  FakeReplica,
  neverResponds,
  refuses,
  resetsConnection,
  responds,
  respondsMisdirected,
  respondsUnframed,
  respondsWithHeaders,
  sendsMalformedResponse,
  stopsAfter,
  streamsEvents,
  streamsUnframed,
  truncatesBody,
  withBodyUnread,
} from '../support/fakeReplica.js';
import { waitUntil } from '../support/gatewayFixture.js';
import { sampleReplica } from '../support/samples.js';
import { startStranger } from '../support/startStranger.js';
import { makeListenerContext } from '../support/makeListenerContext.js';

const timers = new SystemTimerService();
const idleWatch = {
  onConnected: () => undefined,
  onConnectionFailed: () => undefined,
  onData: () => undefined,
  onEnded: () => undefined,
  onStarted: () => undefined,
};
/** Size of an upload that waits for room while nobody reads it, in bytes. */
const UPLOAD_BYTES = 12_000_000;
const reading = { turns: new ResponseTurns(timers) };
const chunks = '1\r\nx\r\n'.repeat(50_000);
const tinyChunks = respondsWithHeaders(
  '200 OK',
  ['Transfer-Encoding: chunked'],
  `${chunks}0\r\n\r\n`,
);
const cleanups: (() => void)[] = [];

afterEach(() => {
  cleanups.splice(0).forEach(cleanup => {
    cleanup();
  });
});

async function startReplica(
  behaviour: Behaviour,
): Promise<{ entry: ReplicaEntry; replica: FakeReplica }> {
  const replica = new FakeReplica([behaviour]);
  const port = await replica.start();
  cleanups.push(() => {
    replica.stop();
  });
  return { entry: sampleReplica('r0', { port }), replica };
}

/** Starts an instance that relays to a replica; returns its address. */
async function startRelay(
  entry: ReplicaEntry,
  overrides: Partial<RelayTarget> = {},
): Promise<string> {
  const agent = new ReplicaAgent(8);
  const target: RelayTarget = {
    accept: run =>
      run === entry.runId
        ? { entry, kind: 'accepted' }
        : { kind: 'unavailable', reason: 'unknown replica' },
    exchange: async (known, request) =>
      await exchangeWithReplica(
        timers,
        { agent, entry: known, reading, watch: idleWatch },
        request,
      ),
    ...overrides,
  };
  const server = new PeerServer(
    makeOwner('self').peer,
    makeListenerContext(),
    new RelayServer(target, makeListenerContext()),
  );
  await server.listen({ host: '127.0.0.1', port: 0 });
  cleanups.push(() => {
    server.close();
    agent.destroy();
  });
  return `127.0.0.1:${String(server.port)}`;
}

/** Starts a server that is no instance; returns its address. */
async function startOther(handle: (socket: Socket) => void): Promise<string> {
  const { close, port } = await startStranger(handle);
  cleanups.push(close);
  return `127.0.0.1:${String(port)}`;
}

/** Starts an instance that accepts every message and then replies that it does not know the path; returns its address. */
async function startBuildWithoutRelays(status: number): Promise<string> {
  const server = createServer((request, response) => {
    request.resume().once('end', () => {
      response.writeHead(status, { 'Content-Length': 0 }).end();
    });
  });
  await listenOn(server, { host: '127.0.0.1', port: 0 });
  cleanups.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${String(getPort(server))}`;
}

/** Makes a client that asks the instances in the given order. */
function makeClient(addresses: readonly string[]): RelayClient {
  const client = new RelayClient({
    candidates: new RelayCandidates(
      () => addresses,
      timers,
      () => 0,
    ),
    logger: silentLogger,
    metrics: new GatewayMetrics(),
    timers,
  });
  cleanups.push(() => {
    client.close();
  });
  return client;
}

function makeRequest(overrides: Partial<ReplicaRequest> = {}): ReplicaRequest {
  return {
    body: Buffer.from('input'),
    headers: ['request-id', 'request-1', 'x-own', 'kept', 'content-length', '5'],
    isRepeatable: false,
    method: 'POST',
    path: '/summaries/7?full=1',
    signal: new AbortController().signal,
    ...overrides,
  };
}

/** Reads the body of an answered exchange; `broken` if it is incomplete. */
async function readBody(outcome: RelayOutcome): Promise<string> {
  if (outcome.kind !== 'answered') {
    return outcome.kind;
  }
  const body = await readBoundedBody(outcome.response.body, 1_000_000);
  return body.ok ? body.val.toString() : body.val;
}

/** Reads the stream of an answered exchange to its end. */
async function readStreamEnd(outcome: RelayOutcome): Promise<StreamEnd> {
  if (outcome.kind !== 'answered') {
    return 'broken';
  }
  return await relayStream(outcome.response, {
    onEvents: async () => Promise.resolve(true),
    signal: new AbortController().signal,
  });
}

describe('a request that another instance relays', () => {
  it('reaches the replica unchanged', async () => {
    const { entry, replica } = await startReplica(responds('done'));
    const outcome = await makeClient([await startRelay(entry)]).exchange(entry, makeRequest());
    expect(outcome).toMatchObject({
      kind: 'answered',
      response: { framing: 'length', status: 200 },
    });
    expect(await readBody(outcome)).toBe('done');
    const [received] = replica.receivedRequests;
    expect(received).toMatchObject({ body: 'input', method: 'POST', path: '/summaries/7?full=1' });
    expect(received!.headers.get('x-own')).toBe('kept');
    expect(received!.headers.has('expect')).toBe(false);
  });

  it.each<[string, Behaviour, object, RegExp]>([
    ['a stream', streamsEvents([1, 2], 'whole'), { framing: 'chunked' }, /piece 2\n\n$/],
    ['an unframed body', respondsUnframed('all', 'close'), { framing: 'connection' }, /^all$/],
    ['a large body in chunks of one byte', tinyChunks, { framing: 'chunked' }, /^x{50000}$/],
    ['a failure', responds('no', '500 Failed'), { framing: 'length', status: 500 }, /^no$/],
    ['a refusal', refuses, { status: 503 }, /^$/],
    ['another replica', respondsMisdirected, { status: 421 }, /^$/],
  ])('returns %s as the replica sent it', async (_name, behaviour, response, body) => {
    const { entry } = await startReplica(behaviour);
    const outcome = await makeClient([await startRelay(entry)]).exchange(entry, makeRequest());
    expect(outcome).toMatchObject({ kind: 'answered', response });
    expect(await readBody(outcome)).toMatch(body);
  });

  it.each<[string, Behaviour]>([
    ['a truncated body', truncatesBody],
    ['a part of a head', stopsAfter(60, 'close')],
    ['a stream that breaks off', streamsEvents([1, 2], 'break')],
    ['an unframed body that is reset', respondsUnframed('half', 'reset')],
    ['an unframed body that is reset at once', respondsUnframed('half', 'immediate-reset')],
  ])('never returns %s as complete', async (_name, behaviour) => {
    const { entry } = await startReplica(behaviour);
    const outcome = await makeClient([await startRelay(entry)]).exchange(entry, makeRequest());
    expect(['broken', 'lost']).toContain(await readBody(outcome));
  });

  // Guards against: a part that arrived at the relaying instance with a reset, during an upload, looked whole.
  it.each<[string, ConnectionEnd, string]>([
    ['never returns a part as complete', 'immediate-reset', 'broken'],
    ['returns the body', 'close', 'part'],
    ['returns the body', 'close-and-reset', 'part'],
  ])(
    '%s if its replica leaves the upload unread and ends by %s',
    async (_name, connectionEnd, expected) => {
      const { entry } = await startReplica(withBodyUnread(respondsUnframed('part', connectionEnd)));
      const request = makeRequest({ body: Buffer.alloc(UPLOAD_BYTES), headers: ['Host', 'r0'] });
      const outcome = await makeClient([await startRelay(entry)]).exchange(entry, request);
      expect(await readBody(outcome)).toBe(expected);
    },
  );

  it.each<[string, Behaviour, StreamEnd]>([
    ['in chunks, whole', streamsEvents([1, 2], 'whole'), 'complete'],
    ['in chunks, closed between events', streamsEvents([1, 2], 'break'), 'broken'],
    ['unframed, closed between events', streamsUnframed([1, 2], 'close'), 'complete'],
    ['unframed, closed inside an event', streamsUnframed([1, 2], 'half-event'), 'broken'],
    ['unframed, closed before an event', streamsUnframed([], 'close'), 'broken'],
    ['unframed, reset with an event', streamsUnframed([1, 2], 'immediate-reset'), 'broken'],
  ])('ends a stream as if it came directly: %s', async (_name, behaviour, end) => {
    const { entry } = await startReplica(behaviour);
    const address = await startRelay(entry);
    expect(await readStreamEnd(await makeClient([address]).exchange(entry, makeRequest()))).toBe(
      end,
    );
  });

  it('never ends a stream as complete when the relaying instance is killed', async () => {
    const { entry } = await startReplica(neverResponds);
    const killed = await startOther(socket => {
      socket.write('HTTP/1.1 100 Continue\r\n\r\n');
      socket.write('HTTP/1.1 200 OK\r\nZincring-Relay: answered connection\r\n');
      socket.end('Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n');
    });
    expect(await readStreamEnd(await makeClient([killed]).exchange(entry, makeRequest()))).toBe(
      'broken',
    );
  });

  it.each<[string, Behaviour]>([
    ['resets the connection', resetsConnection],
    ['sends something else', sendsMalformedResponse],
  ])('may have run when its replica %s', async (_name, behaviour) => {
    const { entry, replica } = await startReplica(behaviour);
    const outcome = await makeClient([await startRelay(entry)]).exchange(entry, makeRequest());
    expect(outcome).toMatchObject({ isPathFault: false, kind: 'lost' });
    expect(replica.receivedRequests).toHaveLength(1);
  });

  it.each<[string, string, string]>([
    ['the response to another request', 'foreign another request', 'foreign'],
    ['an outcome that this build does not know', 'postponed later', 'lost'],
  ])('may have run when the relaying instance reports %s', async (_name, header, kind) => {
    const { entry } = await startReplica(responds('done'));
    const relay = await startOther(socket => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 100 Continue\r\n\r\n');
        socket.once('data', () => {
          socket.write(
            `HTTP/1.1 503 Failed\r\nZincring-Relay: ${header}\r\nContent-Length: 0\r\n\r\n`,
          );
        });
      });
    });
    expect(await makeClient([relay]).exchange(entry, makeRequest())).toMatchObject({ kind });
  });

  it('is reported as answered for another request when its replica did so', async () => {
    const { entry } = await startReplica(responds('done'));
    const address = await startRelay(entry, {
      exchange: async () =>
        await Promise.resolve({ isPathFault: false, kind: 'foreign', reason: 'other' }),
    });
    expect(await makeClient([address]).exchange(entry, makeRequest())).toMatchObject({
      isPathFault: false,
      kind: 'foreign',
    });
  });

  it('has not run when its replica refuses connections', async () => {
    const { entry, replica } = await startReplica(responds('done'));
    replica.stop();
    const outcome = await makeClient([await startRelay(entry)]).exchange(entry, makeRequest());
    expect(outcome).toMatchObject({ isPathFault: false, kind: 'not-sent' });
  });

  it.each<[string, (entry: ReplicaEntry) => Promise<string>]>([
    [
      'does not reach the replicas',
      async entry =>
        await startRelay(entry, { accept: () => ({ kind: 'unavailable', reason: 'stranded' }) }),
    ],
    ['does not answer', async () => await startOther(() => undefined)],
    ['resets the connection', async () => await startOther(socket => socket.resetAndDestroy())],
    ['is of a build without relays', async () => await startBuildWithoutRelays(400)],
    ['serves no relays', async () => await startBuildWithoutRelays(404)],
    ['speaks something else', async () => await startOther(socket => socket.end('no\r\n\r\n'))],
  ])('goes to another instance, once, when the first one %s', async (_name, startFirst) => {
    const { entry, replica } = await startReplica(responds('done'));
    const client = makeClient([await startFirst(entry), await startRelay(entry)]);
    expect(await readBody(await client.exchange(entry, makeRequest()))).toBe('done');
    expect(replica.receivedRequests).toHaveLength(1);
  });

  it('may have run when the relaying instance is lost after it has accepted the request', async () => {
    const { entry, replica } = await startReplica(responds('done'));
    const lost = await startOther(socket => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 100 Continue\r\n\r\n');
        socket.once('data', () => socket.resetAndDestroy());
      });
    });
    const client = makeClient([lost, await startRelay(entry)]);
    expect(await client.exchange(entry, makeRequest())).toMatchObject({
      isPathFault: true,
      kind: 'lost',
    });
    expect(replica.receivedRequests).toHaveLength(0);
  });

  it.each([
    'HTTP/1.1 200 OK\r\nZincring-Relay: answered length\r\n',
    'HTTP/1.1 200 OK\r\nZincring-Relay: answered length\r\nContent-Length: 0\r\n\r',
  ])('may have run when the relaying instance stops within a head: %j', async head => {
    const { entry } = await startReplica(responds('done'));
    const killed = await startOther(socket => {
      socket.end(`HTTP/1.1 100 Continue\r\n\r\n${head}`);
    });
    const outcome = await makeClient([killed]).exchange(entry, makeRequest());
    expect(outcome.kind).toBe('lost');
  });

  it.each([
    ['lost', 'after', 'HTTP/1.1 100 Continue\r\n\r\n'],
    ['unavailable', 'before', ''],
  ])('is %s if an instance switches protocols %s its acceptance', async (kind, _when, head) => {
    const { entry } = await startReplica(responds('done'));
    const other = await startOther(socket => {
      socket.once('data', () => {
        socket.write(`${head}HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n`);
      });
    });
    expect(await makeClient([other]).exchange(entry, makeRequest())).toMatchObject({ kind });
  });

  it.each([
    ['numbers', '[7]'],
    ['lists', '[["a"],"b"]'],
    ['nested deeply', `${'['.repeat(60_000)}${']'.repeat(60_000)}`],
  ])('is none with headers that are %s', (_name, headers) => {
    const head = `{"headers":${headers},"isRepeatable":true,"method":"GET","path":"/7"}\n`;
    expect(decodeRelayedRequest(Buffer.from(head))).toBeUndefined();
  });

  it('cannot be relayed without other instances', async () => {
    const { entry } = await startReplica(responds('done'));
    expect(await makeClient([]).exchange(entry, makeRequest())).toMatchObject({
      kind: 'unavailable',
    });
  });

  it('is cancelled at the replica when its caller leaves', async () => {
    const { entry, replica } = await startReplica(neverResponds);
    const controller = new AbortController();
    const client = makeClient([await startRelay(entry)]);
    const pending = client.exchange(entry, makeRequest({ signal: controller.signal }));
    await waitUntil(() => replica.receivedRequests.length === 1);
    controller.abort();
    expect(await pending).toMatchObject({ kind: 'lost' });
    await waitUntil(() => replica.closedConnections === 1);
  });

  it('has no body in either direction when there is none', async () => {
    const { entry, replica } = await startReplica(responds('', '204 No Content'));
    const request = makeRequest({ body: undefined, headers: ['request-id', '1'], method: 'GET' });
    const outcome = await makeClient([await startRelay(entry)]).exchange(entry, request);
    expect(await readBody(outcome)).toBe('');
    expect(replica.receivedRequests[0]).toMatchObject({ body: '', method: 'GET' });
  });

  it('are only offered to instances in the regions that the request may be sent to', async () => {
    const { entry, replica } = await startReplica(responds('done'));
    const address = await startRelay(entry);
    const permittedRegions = new Set(['west' as Region]);
    const asked: unknown[] = [];
    const candidates = new RelayCandidates(
      regions => {
        asked.push(regions);
        return regions === undefined ? [address] : [];
      },
      timers,
      () => 0,
    );
    const client = new RelayClient({
      candidates,
      logger: silentLogger,
      metrics: new GatewayMetrics(),
      timers,
    });
    cleanups.push(() => {
      client.close();
    });
    const outcome = await client.exchange(entry, makeRequest({ permittedRegions }));
    expect(outcome.kind).toBe('unavailable');
    expect(asked).toEqual([permittedRegions]);
    expect(replica.receivedRequests).toHaveLength(0);
  });
});
