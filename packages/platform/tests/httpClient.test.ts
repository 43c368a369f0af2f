import type { AddressInfo, Socket } from 'node:net';

import { createServer } from 'node:net';
import { describe, expect, it } from 'vitest';

import { HttpClient } from '../src/http/httpClient.js';

function end(socket: Socket): void {
  socket.end();
}

function reset(socket: Socket): void {
  socket.resetAndDestroy();
}

describe(HttpClient, () => {
  it.each([
    ['the end of its connection', end, 5, true],
    ['a reset of its connection', reset, 5, false],
    ['a reset together with its body', reset, 0, false],
  ])('reads a response without a length up to %s', async (_name, finish, pause, isComplete) => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n{}');
        if (pause === 0) {
          finish(socket);
          return;
        }
        setTimeout(() => {
          finish(socket);
        }, pause);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const client = new HttpClient({
      address: `127.0.0.1:${String(port)}`,
      timeoutMilliseconds: 5_000,
    });
    const response = await client.send({ isRetrySafe: true, method: 'GET', path: '/' });
    client.close();
    server.close();
    expect(response.ok).toBe(isComplete);
  });
});
