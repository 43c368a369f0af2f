import type { AddressInfo, Socket } from 'node:net';

import { Agent } from 'node:http';
import { createServer } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';

import { ResponseTurns } from '../../src/http/responseTurns.js';
import { runExchange } from '../../src/http/runExchange.js';
import { ManualTimerService } from '../../src/time/manualTimerService.js';
import { SystemTimerService } from '../../src/time/systemTimerService.js';

const sockets = new Set<Socket>();
const cleanups: (() => void)[] = [];

afterEach(() => {
  cleanups.splice(0).forEach(cleanup => {
    cleanup();
  });
  sockets.forEach(socket => socket.destroy());
  sockets.clear();
});

/** Starts a server that answers with an opening and then the same bytes over and over. */
async function startFlood(opening: string, repeated: string): Promise<number> {
  const piece = repeated.repeat(Math.ceil(65_536 / repeated.length));
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const sendMore = (): void => {
        while (!socket.destroyed && socket.write(piece)) {
          // Goes on until the buffer is full.
        }
      };
      socket.write(opening);
      socket.on('drain', sendMore);
      sendMore();
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return (server.address() as AddressInfo).port;
}

const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const TINY_CHUNK = '1\r\nx\r\n';
/** Wire bytes of all responses together in one iteration of the event loop. */
const BYTES_PER_ITERATION = 32_768;
/** Wire bytes of each response that are parsed at once. */
const UNDIVIDED_BYTES = 65_536;
/** Wire bytes of a turn. */
const TURN_BYTES = 8_192;
const RESPONSES = 8;
const ITERATIONS = 300;

describe(ResponseTurns, () => {
  // Guards against: a flood was parsed for as long as it came, and nothing else was done.
  it('bounds what all responses together take in one iteration of the event loop', async () => {
    const port = await startFlood(CHUNKED_HEAD, TINY_CHUNK);
    const turns = new ResponseTurns(new SystemTimerService());
    let receivedBytes = 0;
    const exchanges = Array.from({ length: RESPONSES }, async () => {
      await runExchange<undefined>(
        { agent: false, host: '127.0.0.1', port },
        {
          onFailure: () => undefined,
          onResponse: (_outgoing, incoming) => {
            incoming.on('error', () => undefined);
            incoming.on('data', (chunk: Buffer) => (receivedBytes += chunk.length));
            return undefined;
          },
          onStarted: outgoing => outgoing.end(),
        },
        { turns },
      );
    });
    await Promise.all(exchanges);
    const undividedBytes = (RESPONSES * UNDIVIDED_BYTES) / TINY_CHUNK.length;
    while (receivedBytes < 2 * undividedBytes) {
      await setImmediate();
    }
    let most = 0;
    for (let iteration = 0; iteration < ITERATIONS; iteration++) {
      const before = receivedBytes;
      await setImmediate();
      most = Math.max(most, receivedBytes - before);
    }
    // A turn begins while anything is left of the bound, and each response may earn some bytes.
    expect(most * TINY_CHUNK.length).toBeLessThan(2 * BYTES_PER_ITERATION);
    expect(most).toBeGreaterThan(0);
  });

  // Guards against: what followed a response, behind the last turn, was taken for the response to the next request.
  it('leaves nothing behind a response on a connection that is used again', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Length: ';
    const headBytes = head.length + '12345\r\n\r\n'.length;
    const bodyBytes = UNDIVIDED_BYTES + TURN_BYTES - headBytes;
    const response = `${head}${String(bodyBytes)}\r\n\r\n${'x'.repeat(bodyBytes)}`;
    const surplus = `${head}7\r\n\r\nsurplus`;
    const server = createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(response + surplus));
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    cleanups.push(() => {
      agent.destroy();
      server.close();
    });
    const turns = new ResponseTurns(new ManualTimerService());
    for (let request = 0; request < 3; request++) {
      const received = await runExchange<number>(
        { agent, host: '127.0.0.1', port },
        {
          onFailure: () => -1,
          onResponse: async (_outgoing, incoming) => {
            let bytes = 0;
            for await (const chunk of incoming as AsyncIterable<Buffer>) {
              bytes += chunk.length;
            }
            return bytes;
          },
          onStarted: outgoing => outgoing.end(),
        },
        { turns },
      );
      expect(received).toBe(bodyBytes);
    }
  });

  // Guards against: a client waited, or read on, while nothing of what came became the head of a response.
  it.each([
    ['blank lines', '', '\r\n'],
    ['a status line', 'HTTP/1.1 200 ', 'x'],
    ['header lines', 'HTTP/1.1 200 OK\r\n', 'X-More: x\r\n'],
    ['informational responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
  ])('fails a request whose server sends no head but %s without end', async (_name, ...flood) => {
    const port = await startFlood(...flood);
    const failure = await runExchange<Error | undefined>(
      { agent: false, host: '127.0.0.1', port },
      {
        onFailure: error => error,
        onResponse: () => undefined,
        onStarted: outgoing => outgoing.end(),
      },
      { turns: new ResponseTurns(new SystemTimerService()) },
    );
    expect(failure?.message).toMatch(/no head of a response|overflow/i);
  });
});
