import type { ServiceName, UpstreamId, WorkspaceName } from '@zincring/core';
import type { AddressInfo, Server, Socket } from 'node:net';

import { createConfiguration, parseRules } from '@zincring/rules';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import type { Replica } from '../../src/upstreams/replicaTable.js';
import type {
  PlainPayload,
  UpstreamFrame,
  UpstreamWork,
} from '../../src/upstreams/upstreamMessages.js';

import { ServiceRoutes } from '../../src/callers/serviceRoutes.js';
import { requestPlainService } from '../../src/upstreams/plainServiceClient.js';

const rules = 'service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders';
const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach(server => server.close());
});

async function listen(server: Server): Promise<number> {
  servers.push(server);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Starts a plain service that sends the given bytes and closes the connection. */
async function startService(bytes: string): Promise<Replica> {
  const port = await listen(
    createServer((socket: Socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end(bytes));
    }),
  );
  return {
    address: `127.0.0.1:${String(port)}`,
    id: 'u-1' as UpstreamId,
    service: 'ticket-app' as ServiceName,
    zone: 'nelson' as Replica['zone'],
  };
}

async function startRoutes(replica: Replica): Promise<number> {
  const configuration = createConfiguration(1 as never, parseRules(rules).unwrap());
  const routes = new ServiceRoutes({
    dispatcher: {
      dispatch: (work: UpstreamWork): AsyncIterable<UpstreamFrame> =>
        requestPlainService(replica, work, work.payload as PlainPayload),
    },
    readerTimeoutMilliseconds: 1_000,
  });
  return await listen(
    createHttpServer((_request, response) => {
      const target = { configuration, method: 'GET', service: replica.service };
      const prepared = routes.prepare(target, response);
      void routes.handle(
        {
          ...prepared,
          body: Buffer.alloc(0),
          contentType: undefined,
          idempotencyKey: undefined,
          keyWithdrawn: new AbortController().signal,
          path: '/',
          workspace: 'utility' as WorkspaceName,
        },
        response,
      );
    }),
  );
}

/** Sends a request on a new connection and returns the head and body as they were sent. */
async function receive(port: number, version = '1.1'): Promise<string> {
  return await new Promise(resolve => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(`GET / HTTP/${version}\r\nHost: x\r\nConnection: close\r\n\r\n`);
    });
    socket.on('data', chunk => (received += chunk.toString()));
    socket.on('close', () => {
      resolve(received);
    });
  });
}

describe(ServiceRoutes, () => {
  it.each([
    ['never marks', 'HTTP/1.1 200 OK\r\n\r\nanswer', false],
    ['marks', 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer', true],
  ])('%s the end of a body as its service did', async (_name, bytes, isMarked) => {
    const received = await receive(await startRoutes(await startService(bytes)));
    expect(received).toContain('answer');
    expect(/transfer-encoding|content-length/i.test(received)).toBe(isMarked);
  });

  it('sends no chunks to callers of HTTP/1.0', async () => {
    const replica = await startService('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer');
    const received = await receive(await startRoutes(replica), '1.0');
    expect(received).toMatch(/\r\n\r\nanswer$/);
    expect(received).not.toMatch(/transfer-encoding/i);
  });
});
