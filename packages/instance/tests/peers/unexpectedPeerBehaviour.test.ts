import type { AddressInfo, Server, Socket } from 'node:net';

import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { PeerConfigurationSource } from '../../src/configuration/peerConfigurationSource.js';
import { PeerClients } from '../../src/peers/peerClients.js';

/** Ways in which a server that is not a peer may treat a connection. */
const unexpectedBehaviours: readonly (readonly [string, (socket: Socket) => void])[] = [
  ['answers in HTTP/1.1', socket => socket.end('HTTP/1.1 400 Bad Request\r\n\r\n')],
  ['sends bytes that belong to no protocol', socket => socket.write(Buffer.alloc(4_096, 7))],
  ['sends an incomplete HTTP/2 frame', socket => socket.write(Buffer.from([0, 0, 18, 4, 0, 0]))],
  [
    'sends an HTTP/2 frame that is not allowed',
    socket => socket.write(Buffer.from('0000050603000000000102030405', 'hex')),
  ],
  ['closes', socket => socket.end()],
  ['resets', socket => socket.resetAndDestroy()],
  ['resets after 30 ms', socket => setTimeout(() => socket.resetAndDestroy(), 30)],
];

/** Wait for failures that a connection raises late, in milliseconds. */
const LATE_FAILURE_WAIT_MILLISECONDS = 150;

describe('a peer address at which an unrelated server answers', () => {
  const uncaughtFailures: unknown[] = [];
  const recordUncaughtFailure = (failure: unknown): void => {
    uncaughtFailures.push(failure);
  };
  let server: Server | undefined;
  const sockets = new Set<Socket>();

  beforeEach(() => {
    uncaughtFailures.length = 0;
    process.on('uncaughtException', recordUncaughtFailure);
  });

  afterEach(() => {
    process.off('uncaughtException', recordUncaughtFailure);
    sockets.forEach(socket => socket.destroy());
    server?.close();
  });

  async function listen(behaviour: (socket: Socket) => void): Promise<string> {
    const listening = createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      behaviour(socket);
    });
    server = listening;
    await new Promise<void>(resolve => {
      listening.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(listening.address() as AddressInfo).port}`;
  }

  it.each(unexpectedBehaviours)(
    'fails only the call when the server %s',
    async (_name, behaviour) => {
      const clients = new PeerClients();
      const client = clients.at(await listen(behaviour));
      const calls = [1, 2, 3].map(async () => await client.exchange({}, { timeoutMs: 100 }));
      const outcomes = await Promise.allSettled(calls);
      clients.close();
      await new Promise(resolve => setTimeout(resolve, LATE_FAILURE_WAIT_MILLISECONDS));
      expect(outcomes.map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected']);
      expect(uncaughtFailures).toEqual([]);
    },
  );

  it.each(unexpectedBehaviours)(
    'fails only the read of the configuration when the server %s',
    async (_name, behaviour) => {
      const source = new PeerConfigurationSource(await listen(behaviour));
      const read = await source.read({ after: 0 });
      await new Promise(resolve => setTimeout(resolve, LATE_FAILURE_WAIT_MILLISECONDS));
      expect(read.err).toBe(true);
      expect(uncaughtFailures).toEqual([]);
    },
  );

  it('fails a call after its timeout when the server does not answer', async () => {
    const clients = new PeerClients();
    const client = clients.at(await listen(() => undefined));
    await expect(client.exchange({}, { timeoutMs: 100 })).rejects.toThrow();
    clients.close();
    await new Promise(resolve => setTimeout(resolve, LATE_FAILURE_WAIT_MILLISECONDS));
    expect(uncaughtFailures).toEqual([]);
  });
});
