import type { Socket } from 'node:net';

import { ManualTimerService } from '@zincring/core';
import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';

import { ClientChecks } from '../../src/listeners/clientChecks.js';
import { HttpListener } from '../../src/listeners/httpListener.js';
import { makeListenerContext } from '../support/makeListenerContext.js';
import { waitUntil } from '../support/gatewayFixture.js';

const TIMES = { headMilliseconds: 3_000, silenceMilliseconds: 5_000 };
const cleanups: (() => void)[] = [];

afterEach(() => {
  cleanups.splice(0).forEach(cleanup => {
    cleanup();
  });
});

interface Setup {
  /** Moves the clock of the listener and runs its checks. */
  readonly pass: (milliseconds: number) => Promise<void>;
  readonly open: (text: string) => Promise<{ readonly isClosed: () => boolean; socket: Socket }>;
}

async function setUp(): Promise<Setup> {
  const timers = new ManualTimerService();
  const checks = new ClientChecks();
  const context = makeListenerContext({ checks, timers });
  const listener = new HttpListener(
    { ...TIMES, name: 'readiness' },
    context,
    (request, response) => {
      request.resume();
      request.once('end', () => response.end('done'));
      request.on('error', () => undefined);
    },
  );
  await listener.listen({ host: '127.0.0.1', port: 0 });
  cleanups.push(() => {
    listener.close();
  });
  return {
    open: async text => {
      const socket = connect(listener.port, '127.0.0.1');
      cleanups.push(() => socket.destroy());
      let isClosed = false;
      socket.on('error', () => undefined);
      socket.on('data', () => undefined);
      socket.on('close', () => (isClosed = true));
      socket.write(text);
      await pause(50);
      return { isClosed: () => isClosed, socket };
    },
    pass: async milliseconds => {
      await timers.advance(milliseconds);
      checks.run(timers.now());
      await pause(50);
    },
  };
}

const HEAD = 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n';

describe('a client that is late', () => {
  // Guards against connections that stay open without an end to what they began.
  it.each([
    ['a head that does not end', 'POST / HTTP/1.1\r\n', 3_500],
    ['a body that stops to arrive', `${HEAD}in`, 5_500],
    ['nothing at all', '', 5_500],
  ])('is disconnected after %s', async (_name, text, milliseconds) => {
    const { open, pass } = await setUp();
    const client = await open(text);
    await pass(milliseconds - 1_000);
    expect(client.isClosed()).toBe(false);
    await pass(1_000);
    await waitUntil(client.isClosed);
  });

  it('keeps its connection while its body arrives slowly', async () => {
    const { open, pass } = await setUp();
    const client = await open(HEAD);
    for (const byte of 'inpu') {
      await pass(4_000);
      client.socket.write(byte);
      await pause(50);
    }
    expect(client.isClosed()).toBe(false);
  });
});
