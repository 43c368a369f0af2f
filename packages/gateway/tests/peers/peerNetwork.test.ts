import type { Socket } from 'node:net';

import { silentLogger } from '@zincring/core';
import { afterEach, describe, expect, it } from 'vitest';

import type { GatewayPeer } from '../../src/peers/gatewayPeer.js';
import type { PermitRequest } from '../../src/upstreams/permits/permitOwner.js';
import type { ReplicaRunId } from '../../src/upstreams/replica.js';

import { PeerClients } from '../../src/peers/peerClients.js';
import { parseSlownessReports } from '../../src/peers/peerMessages.js';
import { PeerServer } from '../../src/peers/peerServer.js';
import { makeOwner, makeRelayServer } from '../support/fakePeer.js';
import { startStranger } from '../support/startStranger.js';
import { makeListenerContext } from '../support/makeListenerContext.js';

const bucket = {
  burst: 20,
  inUseMilliseconds: 700,
  name: 'clerks',
  ratePerSecond: 10,
  slackShare: 0.5,
};
const demand = {
  budget: 1_725,
  expiresAt: 1_796_356_821_000,
  hasEarlierTurns: true,
  maximumTokens: 575,
  program: 'clerks/program-1',
  reservation: 'run-1.7',
};

const permitRequest: PermitRequest = {
  announced: { ageMilliseconds: 40, requestsPerSecond: 2.5 },
  maximumWaitMilliseconds: 300,
  replica: 'r1@1' as ReplicaRunId,
};

describe('calls between instances', () => {
  const cleanups: (() => void)[] = [];

  afterEach(() => {
    cleanups.splice(0).forEach(cleanup => {
      cleanup();
    });
  });

  async function startServer(overrides: Partial<GatewayPeer>): Promise<PeerServer> {
    const server = new PeerServer(
      makeOwner('self', overrides).peer,
      makeListenerContext(),
      makeRelayServer(),
    );
    await server.listen({ host: '127.0.0.1', port: 0 });
    cleanups.push(() => {
      server.close();
    });
    return server;
  }

  function connect(port: number): GatewayPeer {
    const clients = new PeerClients(silentLogger);
    cleanups.push(() => {
      clients.close();
    });
    return clients.at(`127.0.0.1:${String(port)}`);
  }

  /** Starts a server that is no instance; returns its port. */
  async function startOther(handle: (socket: Socket) => void): Promise<number> {
    const { close, port } = await startStranger(handle);
    cleanups.push(close);
    return port;
  }

  it.each([
    { isOverRate: false, kind: 'granted' },
    { isOverRate: true, kind: 'pending' },
    { isOverRate: true, kind: 'denied', retryAfterMilliseconds: 250 },
    { kind: 'without-store' },
  ] as const)('carries a request for credit and the reply $kind', async reply => {
    const received: unknown[] = [];
    const server = await startServer({
      acquireOwned: async request => {
        received.push(request);
        return await Promise.resolve(reply);
      },
    });
    expect(await connect(server.port).acquireOwned(bucket)).toEqual(reply);
    expect(received).toEqual([bucket]);
  });

  it.each([
    { kind: 'held', startsProgram: true },
    { kind: 'pending' },
    { kind: 'spent' },
    { kind: 'without-store' },
  ] as const)('carries a reservation and the reply $kind', async reply => {
    const received: unknown[] = [];
    const server = await startServer({
      reserveOwned: async request => {
        received.push(request);
        return await Promise.resolve(reply);
      },
    });
    expect(await connect(server.port).reserveOwned(demand)).toEqual(reply);
    expect(received).toEqual([demand]);
  });

  it.each([
    {
      announced: { ageMilliseconds: 40, requestsPerSecond: 2.5 },
      kind: 'denied',
      retryAfterMilliseconds: 400,
    },
    {
      announced: { ageMilliseconds: 0, requestsPerSecond: 0 },
      delayMilliseconds: 20,
      kind: 'granted',
    },
    { announced: { ageMilliseconds: 7 }, delayMilliseconds: 0, kind: 'granted' },
  ] as const)('carries a request for a permit and the reply $kind', async reply => {
    const received: unknown[] = [];
    const server = await startServer({
      acquirePermit: async request => {
        received.push(request);
        return await Promise.resolve(reply);
      },
    });
    expect(await connect(server.port).acquirePermit(permitRequest)).toEqual(reply);
    expect(received).toEqual([permitRequest]);
  });

  it('carries the burst that a request for a permit allows', async () => {
    const received: unknown[] = [];
    const server = await startServer({
      acquirePermit: async request => {
        received.push(request);
        return await Promise.resolve({ kind: 'unreachable' });
      },
    });
    const request = { ...permitRequest, burstMilliseconds: 50 };
    await connect(server.port).acquirePermit(request);
    expect(received).toEqual([request]);
  });

  it('carries the report that a replica accepts any rate', async () => {
    const received: unknown[] = [];
    const server = await startServer({
      reportRate: async report => {
        received.push(report);
        return await Promise.resolve(true);
      },
    });
    const report = { announced: { ageMilliseconds: 3 }, replica: 'r1@1' as ReplicaRunId };
    expect(await connect(server.port).reportRate(report)).toBe(true);
    expect(received).toEqual([report]);
  });

  it('carries the turns that the responding instance has in flight, beside any reply', async () => {
    const reply = { isOverRate: false, kind: 'granted' } as const;
    const { peer } = makeOwner('self', { acquireOwned: async () => await Promise.resolve(reply) });
    const loads = { ownCounts: { engines: 3 } };
    const server = new PeerServer(peer, makeListenerContext(), makeRelayServer(), loads);
    await server.listen({ host: '127.0.0.1', port: 0 });
    const received: unknown[] = [];
    const clients = new PeerClients(silentLogger, counts => received.push(counts));
    cleanups.push(() => {
      server.close();
      clients.close();
    });
    const remote = clients.at(`127.0.0.1:${String(server.port)}`);
    expect(await remote.acquireOwned(bucket)).toEqual(reply);
    expect(received).toEqual([{ engines: 3 }]);
  });

  it('carries measurements of replicas beside any reply, and nothing while there are none', async () => {
    const measured = [{ ageMilliseconds: 40, ratio: 2.5, run: 'r1@1' as ReplicaRunId }];
    const source = { ownReports: measured };
    const { peer } = makeOwner('self', {});
    const loads = { ownCounts: {} };
    const server = new PeerServer(peer, makeListenerContext(), makeRelayServer(), loads, source);
    await server.listen({ host: '127.0.0.1', port: 0 });
    const received: unknown[] = [];
    const clients = new PeerClients(
      silentLogger,
      () => undefined,
      reports => received.push(reports),
    );
    cleanups.push(() => {
      server.close();
      clients.close();
    });
    const remote = clients.at(`127.0.0.1:${String(server.port)}`);
    const reply = await remote.acquireOwned(bucket);
    expect(reply).not.toHaveProperty('replicaSlowness');
    expect(received).toEqual([measured]);
    source.ownReports = [];
    await remote.acquireOwned(bucket);
    expect(received).toHaveLength(1);
  });

  it.each([
    ['of a build that measures nothing', undefined, []],
    ['with something else', 7, []],
    ['with items that are none', [['r1@1', 'fast', 3], 5, ['r2@1', 2, 7, 'more']], ['r2@1']],
  ])('reads measurements %s', (_name, value, expected) => {
    expect(parseSlownessReports(value).map(({ run }) => run)).toEqual(expected);
  });

  it.each([
    ['of a build that does not count turns', '{"kind":"pending"}', []],
    ['with something else', '{"kind":"pending","engineTurns":7}', []],
    ['with a count that is none', '{"kind":"pending","engineTurns":{"a":"b","c":1}}', [{ c: 1 }]],
  ])('reads a reply %s', async (_name, text, expected) => {
    const port = await startOther(socket => {
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${String(text.length)}\r\n\r\n`;
      socket.once('data', () => socket.write(`${head}${text}`));
    });
    const received: unknown[] = [];
    const clients = new PeerClients(silentLogger, counts => received.push(counts));
    cleanups.push(() => {
      clients.close();
    });
    const remote = clients.at(`127.0.0.1:${String(port)}`);
    expect(await remote.acquireOwned(bucket)).toEqual({ kind: 'pending' });
    expect(received).toEqual(expected);
  });

  it.each([
    ['nothing', '{}'],
    ['null', 'null'],
    ['an unknown kind', '{"kind":"maybe"}'],
    ['no numbers', '{"kind":"denied","announced":{"ageMilliseconds":1}}'],
    ['a number without end', '{"kind":"denied","retryAfterMilliseconds":1e999}'],
    ['an odd rate', '{"kind":"granted?","announced":{"ageMilliseconds":[]},"delayMilliseconds":0}'],
    ['deep nesting', `${'['.repeat(50_000)}${']'.repeat(50_000)}`],
  ])('treats a reply of %s as none', async (_name, text) => {
    const port = await startOther(socket => {
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${String(text.length)}\r\n\r\n`;
      socket.on('data', () => socket.write(`${head}${text}`));
    });
    const peer = connect(port);
    expect(await peer.acquireOwned(bucket)).toEqual({ kind: 'unreachable' });
    expect(await peer.acquirePermit(permitRequest)).toEqual({ kind: 'unreachable' });
    expect(await peer.reserveOwned(demand)).toEqual({ kind: 'unreachable' });
  });

  it('carries a settlement', async () => {
    const received: unknown[] = [];
    const server = await startServer({
      settleOwned: async (...settlement) => {
        received.push(settlement);
        return await Promise.resolve(true);
      },
    });
    expect(await connect(server.port).settleOwned('run-1.7', 253)).toBe(true);
    expect(received).toEqual([['run-1.7', 253]]);
  });

  it.each<[string, (socket: Socket) => void]>([
    ['stays silent', () => undefined],
    ['closes', socket => socket.end()],
    ['resets', socket => socket.resetAndDestroy()],
    ['speaks something else', socket => socket.write('no answer at all\r\n\r\n')],
    ['refuses', socket => socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n')],
    [
      'answers without JSON',
      socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext'),
    ],
  ])('reports a peer that %s as unreachable', async (_name, handle) => {
    const peer = connect(await startOther(handle));
    expect(await peer.acquireOwned(bucket)).toEqual({ kind: 'unreachable' });
    expect(await peer.reserveOwned(demand)).toEqual({ kind: 'unreachable' });
    expect(await peer.settleOwned('run-1.7', 1)).toBe(false);
    expect(await peer.acquirePermit(permitRequest)).toEqual({ kind: 'unreachable' });
    expect(await peer.reportRate(permitRequest)).toBe(false);
  });

  it('reaches an instance again that was started anew at its address', async () => {
    const granted: Partial<GatewayPeer> = {
      acquireOwned: async () => await Promise.resolve({ isOverRate: false, kind: 'granted' }),
    };
    const first = await startServer(granted);
    const { port } = first;
    const peer = connect(port);
    expect(await peer.acquireOwned(bucket)).toMatchObject({ kind: 'granted' });
    first.close();
    expect(await peer.acquireOwned(bucket)).toEqual({ kind: 'unreachable' });
    const second = new PeerServer(
      makeOwner('self', granted).peer,
      makeListenerContext(),
      makeRelayServer(),
    );
    await second.listen({ host: '127.0.0.1', port });
    cleanups.push(() => {
      second.close();
    });
    expect(await peer.acquireOwned(bucket)).toMatchObject({ kind: 'granted' });
  });

  it.each([
    ['/acquire-credit', '{"name":"clerks"}', 400],
    ['/acquire-credit', 'no message', 400],
    ['/reserve-tokens', '{"budget":"much"}', 400],
    ['/acquire-permit', '{"announced":{"ageMilliseconds":1},"replica":"r1@1"}', 400],
    ['/acquire-permit', '{"announced":7,"maximumWaitMilliseconds":0,"replica":"r1@1"}', 400],
    [
      '/report-rate',
      '{"announced":{"ageMilliseconds":1,"requestsPerSecond":-2},"replica":"r"}',
      400,
    ],
    ['/settle-tokens', '[]', 400],
    ['/settle-tokens', 'x'.repeat(20_000), 400],
    ['/unknown', '{}', 404],
  ])('refuses a call of %s that it cannot read', async (path, body, status) => {
    let calls = 0;
    const count = async (): Promise<never> => {
      calls++;
      return await Promise.reject(new Error('called'));
    };
    const server = await startServer({
      acquireOwned: count,
      acquirePermit: count,
      reportRate: count,
      reserveOwned: count,
      settleOwned: count,
    });
    const response = await fetch(`http://127.0.0.1:${String(server.port)}${path}`, {
      body,
      method: 'POST',
    });
    expect(response.status).toBe(status);
    expect(calls).toBe(0);
  });
});
