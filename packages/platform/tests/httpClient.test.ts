import type { AddressInfo, Socket } from 'node:net';

import { ManualTimerService } from '@zincring/core';
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

  // Guards against: the body of a response without end was kept until memory ran out.
  it.each([
    ['without a length', ''],
    ['in chunks of one byte', 'Transfer-Encoding: chunked\r\n'],
  ])('gives up a response %s that is larger than any may be', async (_name, headerLine) => {
    const piece = headerLine === '' ? 'x' : '1\r\nx\r\n';
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        const sendMore = (): void => {
          while (!socket.destroyed && socket.write(piece.repeat(10_000))) {
            // Goes on until the buffer is full.
          }
        };
        socket.write(`HTTP/1.1 200 OK\r\n${headerLine}\r\n`);
        socket.on('drain', sendMore);
        sendMore();
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${String(port)}`;
    const client = new HttpClient({
      address,
      maximumResponseBytes: 100_000,
      timeoutMilliseconds: 30_000,
    });
    const response = await client.send({ isRetrySafe: true, method: 'GET', path: '/' });
    client.close();
    server.close();
    expect(response.err && response.val.message).toContain('too large');
  });

  // Guards against: the waiting write took the error of the reset, and the part was taken for the whole response.
  it.each([
    ['the end of its connection', end, true],
    ['a reset together with its body', reset, false],
  ])('reads an unframed response to an unread request up to %s', async (_name, finish, isWhole) => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        // By then the rest of the request waits for room.
        setTimeout(() => {
          socket.write('HTTP/1.1 200 OK\r\n\r\n{}');
          finish(socket);
        }, 20);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${String(port)}`;
    const client = new HttpClient({ address, timeoutMilliseconds: 5_000 });
    const body = Buffer.alloc(16_000_000);
    const response = await client.send({ body, isRetrySafe: true, method: 'PUT', path: '/' });
    client.close();
    server.close();
    expect(response.ok).toBe(isWhole);
  });

  it.each([
    ['a length', 'Content-Length: 9\r\n\r\n{}', end],
    ['a length', 'Content-Length: 9\r\n\r\n{}', reset],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n', end],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n', reset],
  ])('never takes a part of a response with %s for all of it', async (_name, text, finish) => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\n${text}`);
        finish(socket);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${String(port)}`;
    const client = new HttpClient({ address, timeoutMilliseconds: 5_000 });
    const response = await client.send({ isRetrySafe: false, method: 'POST', path: '/' });
    client.close();
    server.close();
    expect(response.err && response.val.failure).toBe('outcome-unknown');
  });

  it.each([
    ['no response', ''],
    ['a part of a response', 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{'],
  ])('gives up after its timeout when the platform sends %s', async (_name, text) => {
    const server = createServer();
    const hasSent = new Promise<void>(resolve => {
      server.on('connection', socket => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          socket.write(text);
          setTimeout(resolve, 5);
        });
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const timers = new ManualTimerService();
    const address = `127.0.0.1:${String(port)}`;
    const client = new HttpClient({ address, timeoutMilliseconds: 5_000, timers });
    const pending = client.send({ isRetrySafe: false, method: 'POST', path: '/' });
    await hasSent;
    await timers.advance(5_000);
    const response = await pending;
    client.close();
    server.close();
    expect(response.err && response.val.failure).toBe('outcome-unknown');
  });

  it.each([
    [
      'a switch of protocols',
      'HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n',
    ],
    ['status 000', 'HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n'],
    ['status 099', 'HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n'],
    ['status 700', 'HTTP/1.1 700 None\r\nContent-Length: 0\r\n\r\n'],
  ])('never waits for more after %s', async (_name, text) => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(text));
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${String(port)}`;
    const client = new HttpClient({ address, timeoutMilliseconds: 2_000 });
    const response = await client.send({ isRetrySafe: false, method: 'POST', path: '/' });
    client.close();
    server.close();
    expect(response.err && response.val.failure).toBe('outcome-unknown');
  });

  it('never takes a surplus response on an idle connection for that of the next request', async () => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', chunk => {
        const [, path = ''] = chunk.toString().split(' ');
        socket.write(formatResponse(path));
        if (path === '/first') {
          setTimeout(() => socket.write(formatResponse('surplus')), 5);
        }
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${String(port)}`;
    const client = new HttpClient({ address, timeoutMilliseconds: 5_000 });
    await client.send({ isRetrySafe: true, method: 'GET', path: '/first' });
    await new Promise(resolve => setTimeout(resolve, 50));
    const response = await client.send({ isRetrySafe: true, method: 'GET', path: '/second' });
    client.close();
    server.close();
    expect(response.ok && response.val.body.toString()).toBe('/second');
  });
});

function formatResponse(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${String(body.length)}\r\n\r\n${body}`;
}
