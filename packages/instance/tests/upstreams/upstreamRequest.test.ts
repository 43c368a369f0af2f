import type { AddressInfo, Socket } from 'node:net';

import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { readLines, readText, sendRequest } from '../../src/upstreams/upstreamRequest.js';

const cleanups: (() => void)[] = [];

afterEach(() => {
  cleanups.splice(0).forEach(cleanup => {
    cleanup();
  });
});

/** Starts an upstream that sends a head, of an unframed response by default, and then calls the function. */
async function startUpstream(
  respond: (socket: Socket) => void,
  head = 'HTTP/1.1 200 OK\r\n\r\n',
): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(head);
      respond(socket);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
}

/** Resets the connection after the body: together with it, or once it has been received. */
function resetsAfter(body: string, isImmediate: boolean): (socket: Socket) => void {
  return socket => {
    socket.write(body);
    if (isImmediate) {
      socket.resetAndDestroy();
      return;
    }
    setTimeout(() => socket.resetAndDestroy(), 5);
  };
}

async function readAll(
  address: string,
  read: typeof readLines | typeof readText,
  body = Buffer.alloc(0),
  timeoutMilliseconds = 5_000,
): Promise<string> {
  const response = await sendRequest({
    address,
    body,
    headers: {},
    method: 'POST',
    path: '/',
    signal: AbortSignal.timeout(timeoutMilliseconds),
  });
  if (read === readText) {
    return await readText(response);
  }
  const lines: string[] = [];
  for await (const line of readLines(response)) {
    lines.push(line);
  }
  return lines.join('|');
}

describe(sendRequest, () => {
  it.each([
    ['lines', 'after', readLines, false],
    ['lines', 'together with', readLines, true],
    ['text', 'after', readText, false],
    ['text', 'together with', readText, true],
  ])(
    'never presents %s as complete if a reset arrives %s them',
    async (_n, _w, read, isImmediate) => {
      const address = await startUpstream(resetsAfter('one\ntwo\n', isImmediate));
      await expect(readAll(address, read)).rejects.toThrow('ECONNRESET');
    },
  );

  // Guards against: the waiting write took the error of the reset, and the part looked like the whole response.
  it.each([
    ['text', readText],
    ['lines', readLines],
  ])('never presents %s as complete if a reset arrives during an upload', async (_name, read) => {
    const address = await startUpstream(socket => {
      socket.pause();
      // By then the rest of the upload waits for room.
      setTimeout(() => {
        socket.write('HTTP/1.1 200 OK\r\n\r\none\ntwo\n');
        socket.resetAndDestroy();
      }, 20);
    }, '');
    await expect(readAll(address, read, Buffer.alloc(16_000_000))).rejects.toThrow('ECONNRESET');
  });

  it.each([
    ['a length', 'Content-Length: 9\r\n\r\npart\n'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n5\r\npart\n\r\n'],
    ['no framing', '\r\npart\n'],
  ])('fails when the rest of a response with %s does not come in time', async (_name, text) => {
    const address = await startUpstream(() => undefined, `HTTP/1.1 200 OK\r\n${text}`);
    for (const read of [readText, readLines]) {
      await expect(readAll(address, read, undefined, 100)).rejects.toThrow(/abort|timeout/i);
    }
  });

  it('never takes a part of a head for a response', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
    for (let bytes = 1; bytes < head.length; bytes++) {
      const address = await startUpstream(socket => socket.end(), head.slice(0, bytes));
      await expect(readAll(address, readText), String(bytes)).rejects.toThrow();
    }
  });

  it.each([
    ['one\ntwo\n', 'one|two'],
    ['one\ntw', 'one'],
    ['', ''],
  ])(
    'reads the complete lines of a response that ends with its connection: %j',
    async (body, lines) => {
      const address = await startUpstream(socket => socket.end(body));
      expect(await readAll(address, readLines)).toBe(lines);
    },
  );

  it.each([
    '101 Switching\r\nConnection: Upgrade\r\nUpgrade: x',
    '000 None',
    '099 None',
    '700 None',
  ])('fails at once if the upstream sends no response but %j', async status => {
    const address = await startUpstream(() => undefined, `HTTP/1.1 ${status}\r\n\r\n`);
    await expect(readAll(address, readText)).rejects.toThrow(/status|without a response/);
  });

  it('rejects an address that cannot be sent to', async () => {
    await expect(readAll('127.0.0.1:70000', readText)).rejects.toThrow('70000');
  });
});
