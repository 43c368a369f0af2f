import type { AddressInfo, Server, Socket } from 'node:net';

import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { PeerConfigurationSource } from '../../src/configuration/peerConfigurationSource.js';
import { PeerClients } from '../../src/peers/peerClients.js';

/** What another program may do with a connection that was meant for a peer. */
const strangers: readonly (readonly [string, (socket: Socket) => void])[] = [
  ['speaks HTTP/1.1', socket => socket.end('HTTP/1.1 400 Bad Request\r\n\r\n')],
  ['sends bytes of no protocol', socket => socket.write(Buffer.alloc(4_096, 7))],
  ['sends half a frame of HTTP/2', socket => socket.write(Buffer.from([0, 0, 18, 4, 0, 0]))],
  [
    'sends a frame that is not allowed',
    socket => socket.write(Buffer.from('0000050603000000000102030405', 'hex')),
  ],
  ['closes', socket => socket.end()],
  ['resets', socket => socket.resetAndDestroy()],
  ['resets after a while', socket => setTimeout(() => socket.resetAndDestroy(), 30)],
];

/** Time in which late failures of connections show, in milliseconds. */
const LATE_MILLISECONDS = 150;

describe('a peer address at which another program answers', () => {
  const escaped: unknown[] = [];
  const noteEscaped = (failure: unknown): void => {
    escaped.push(failure);
  };
  let server: Server | undefined;
  const sockets = new Set<Socket>();

  beforeEach(() => {
    escaped.length = 0;
    process.on('uncaughtException', noteEscaped);
  });

  afterEach(() => {
    process.off('uncaughtException', noteEscaped);
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

  it.each(strangers)('fails a call and nothing else when it %s', async (_name, behaviour) => {
    const clients = new PeerClients();
    const client = clients.at(await listen(behaviour));
    const calls = [1, 2, 3].map(async () => await client.exchange({}, { timeoutMs: 100 }));
    const outcomes = await Promise.allSettled(calls);
    clients.close();
    await new Promise(resolve => setTimeout(resolve, LATE_MILLISECONDS));
    expect(outcomes.map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected']);
    expect(escaped).toEqual([]);
  });

  it.each(strangers)('fails a read of the configuration when it %s', async (_name, behaviour) => {
    const source = new PeerConfigurationSource(await listen(behaviour));
    const read = await source.read({ after: 0 });
    await new Promise(resolve => setTimeout(resolve, LATE_MILLISECONDS));
    expect(read.err).toBe(true);
    expect(escaped).toEqual([]);
  });

  it('fails a call after its time when it stays silent', async () => {
    const clients = new PeerClients();
    const client = clients.at(await listen(() => undefined));
    await expect(client.exchange({}, { timeoutMs: 100 })).rejects.toThrow();
    clients.close();
    await new Promise(resolve => setTimeout(resolve, LATE_MILLISECONDS));
    expect(escaped).toEqual([]);
  });
});
