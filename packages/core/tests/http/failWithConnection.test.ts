import type { AddressInfo, Socket } from 'node:net';

import { Agent, request } from 'node:http';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { failWithConnection } from '../../src/http/failWithConnection.js';

const cleanups: (() => void)[] = [];

afterEach(() => {
  cleanups.splice(0).forEach(cleanup => {
    cleanup();
  });
});

/** Starts a server that calls the function with each request. */
async function startServer(respond: (socket: Socket) => void): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      respond(socket);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return (server.address() as AddressInfo).port;
}

/** Returns the body of a response; rejects if it could not be read to its end. */
async function readBody(port: number, agent?: Agent): Promise<string> {
  return await new Promise((resolve, reject) => {
    const outgoing = request({ agent: agent ?? false, host: '127.0.0.1', port });
    outgoing.on('error', reject);
    outgoing.on('response', incoming => {
      failWithConnection(outgoing, incoming);
      let body = '';
      incoming.on('data', chunk => (body += String(chunk)));
      incoming.on('end', () => {
        resolve(body);
      });
      incoming.on('error', reject);
    });
    outgoing.end();
  });
}

/** Size of a body that no system takes in at once, in bytes. */
const UPLOAD_BYTES = 16_000_000;
/** Time after which an upload that nobody reads waits for room, in milliseconds. */
const UPLOAD_PAUSE_MILLISECONDS = 20;

/** Starts a server that leaves an upload unread and calls the function once the rest of it waits for room. */
async function startServerForUploads(respond: (socket: Socket) => void): Promise<number> {
  const hasReceived = new WeakSet<Socket>();
  return await startServer(socket => {
    socket.pause();
    if (!hasReceived.has(socket)) {
      hasReceived.add(socket);
      setTimeout(() => {
        respond(socket);
      }, UPLOAD_PAUSE_MILLISECONDS);
    }
  });
}

/** Returns the body of the response to an upload; rejects if it could not be read to its end. */
async function upload(port: number): Promise<string> {
  return await new Promise((resolve, reject) => {
    const outgoing = request({ agent: false, host: '127.0.0.1', method: 'POST', port });
    outgoing.on('response', incoming => {
      expect(incoming.socket.writableLength).toBeGreaterThan(0);
      failWithConnection(outgoing, incoming);
      let body = '';
      incoming.on('data', chunk => (body += String(chunk)));
      incoming.on('error', reject);
      incoming.on('end', () => {
        resolve(body);
      });
    });
    outgoing.end(Buffer.alloc(UPLOAD_BYTES));
  });
}

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

describe(failWithConnection, () => {
  it.each(['body', ''])(
    'reads an unframed body up to the end of its connection: %j',
    async body => {
      const port = await startServer(socket => socket.end(UNFRAMED_HEAD + body));
      expect(await readBody(port)).toBe(body);
    },
  );

  it('reads an unframed body whose connection is reset after its end', async () => {
    const port = await startServer(socket => {
      socket.end(`${UNFRAMED_HEAD}body`, () => socket.resetAndDestroy());
    });
    expect(await readBody(port)).toBe('body');
  });

  it.each([
    ['after', 'a body', 'body'],
    ['after', 'the head', ''],
    ['together with', 'a body', 'body'],
    ['together with', 'the head', ''],
  ])('never reads a reset %s %s as the end of an unframed body', async (moment, _part, body) => {
    const port = await startServer(socket => {
      socket.write(UNFRAMED_HEAD + body);
      if (moment === 'together with') {
        socket.resetAndDestroy();
        return;
      }
      setTimeout(() => socket.resetAndDestroy(), 5);
    });
    await expect(readBody(port)).rejects.toThrow('ECONNRESET');
  });

  it.each([
    ['a body with a length', '200 OK\r\nContent-Length: 4\r\n\r\nbody'],
    ['no body', '204 No Content\r\n\r\n'],
  ])('leaves no listener on a connection used again after %s', async (_name, response) => {
    const port = await startServer(socket => socket.write(`HTTP/1.1 ${response}`));
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    cleanups.push(() => {
      agent.destroy();
    });
    const counts: (number | undefined)[] = [];
    for (let exchange = 0; exchange < 3; exchange++) {
      await readBody(port, agent);
      await new Promise(resolve => setImmediate(resolve));
      counts.push(Object.values(agent.freeSockets)[0]?.[0]?.listenerCount('end'));
    }
    expect(new Set(counts).size).toBe(1);
    expect(counts[0]).toBeDefined();
  });
});

const unframedHeads = [UNFRAMED_HEAD, 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'];
const parts = ['', 'x'.repeat(650), 'x'.repeat(60_000)];
const responses = unframedHeads.flatMap(head => parts.map(part => [head, part] as const));

// Both ends of the connection are in this process, so that the client reads the part and the reset at once.
describe('an unframed response to an upload that is still being written', () => {
  // Guards against: the waiting write took the error of the reset, and the part looked like the whole body.
  it.each(responses)('is broken off by a reset together with its part: %j', async (head, part) => {
    const port = await startServerForUploads(socket => {
      socket.write(head + part);
      socket.resetAndDestroy();
    });
    await expect(upload(port)).rejects.toThrow('ECONNRESET');
  });

  it.each(responses)('is broken off by a reset after its part: %j', async (head, part) => {
    const port = await startServerForUploads(socket => {
      socket.write(head + part);
      setTimeout(() => socket.resetAndDestroy(), 5);
    });
    await expect(upload(port)).rejects.toThrow('ECONNRESET');
  });

  it.each(responses)('is whole after an orderly end: %j', async (head, part) => {
    const port = await startServerForUploads(socket => socket.end(head + part));
    expect(await upload(port)).toBe(part);
  });

  it.each(responses)(
    'is whole after an orderly end together with a reset: %j',
    async (head, part) => {
      const port = await startServerForUploads(socket => {
        socket.end(head + part, () => socket.resetAndDestroy());
      });
      expect(await upload(port)).toBe(part);
    },
  );
});

const framedHeads = [
  ['a length', 'Content-Length: 9\r\n\r\n', 'part', 'body body'],
  ['chunks', 'Transfer-Encoding: chunked\r\n\r\n', '4\r\npart\r\n', '9\r\nbody body\r\n0\r\n\r\n'],
] as const;
const connectionEnds = [
  ['closed', (socket: Socket) => socket.end()],
  ['reset', (socket: Socket) => socket.resetAndDestroy()],
  ['closed and reset', (socket: Socket) => socket.end(() => socket.resetAndDestroy())],
] as const;
const framed = framedHeads.flatMap(([framing, ...texts]) =>
  connectionEnds.map(([name, end]) => [framing, name, end, ...texts] as const),
);

// Guards against: the framing of a response was not what decided whether it is whole.
describe.each([
  ['after a request', startServer, readBody],
  ['during an upload', startServerForUploads, upload],
])('a response with framing, %s', (_name, start, read) => {
  it.each(framed)('is broken off inside its %s if its connection is %s', async (...row) => {
    const [, , end, head, part] = row;
    const port = await start(socket => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}${part}`);
      end(socket);
    });
    await expect(read(port)).rejects.toThrow();
  });

  it.each(framed)('is whole at the end of its %s if its connection is %s then', async (...row) => {
    const [, , end, head, , whole] = row;
    const port = await start(socket => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}${whole}`);
      end(socket);
    });
    expect(await read(port)).toBe('body body');
  });
});
