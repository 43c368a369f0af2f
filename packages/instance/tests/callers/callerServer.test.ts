import type { ConfigurationVersion } from '@zincring/core';
import type { AddressInfo } from 'node:net';

import { connect } from 'node:net';

import { hashKey, isErrorKind, Ok, silentLogger, SystemTimerService } from '@zincring/core';
import { createConfiguration, parseRules } from '@zincring/rules';
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import type { ConfigurationFollower } from '../../src/configuration/configurationFollower.js';
import type { ProgramService } from '../../src/programs/programMessages.js';
import type { UpstreamWork } from '../../src/upstreams/upstreamMessages.js';

import { CallerRouter } from '../../src/callers/callerRouter.js';
import { CallerServer } from '../../src/callers/callerServer.js';
import { ProgramRoutes } from '../../src/callers/programRoutes.js';
import { ServiceRoutes } from '../../src/callers/serviceRoutes.js';
import { KeyWatch } from '../../src/configuration/keyWatch.js';

const KEY = 'fuzz-key';
const BODY_LIMIT = 2_000;

const rules = `
workspace utility rate=100 burst=100 # dana: the pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
route status path=/status service=ticket-app access=open # omar: outages
`;

const dispatchedWork: UpstreamWork[] = [];
const rejectUnexpectedCall = async (): Promise<never> => Promise.reject(new Error('not used'));
const programs: ProgramService = {
  async *call() {
    yield { data: Buffer.from('beginning'), kind: 'data', offset: 0 };
    yield await new Promise<never>(() => undefined);
  },
  describe: rejectUnexpectedCall,
  end: rejectUnexpectedCall,
  open: rejectUnexpectedCall,
};

type Listener = Parameters<ConfigurationFollower['subscribe']>[0];
const listeners: Listener[] = [];

function createServer(
  port: { number: number },
  maximumConnections: number,
  hasConfiguration = true,
): CallerServer {
  const configuration = createConfiguration(1 as ConfigurationVersion, parseRules(rules).unwrap());
  const timers = new SystemTimerService();
  const router = new CallerRouter({
    admission: { admit: async () => Promise.resolve(Ok(undefined)) },
    bodyLimitBytes: BODY_LIMIT,
    configuration: () => (hasConfiguration ? configuration : undefined),
    keyWatch: new KeyWatch({
      follower: {
        current: configuration,
        subscribe: listener => {
          listeners.push(listener);
          return { stop: () => undefined };
        },
      },
      maximumListeners: 100,
    }),
    now: () => timers.now(),
    programRoutes: new ProgramRoutes({
      bodyDepthLimit: 16,
      programs,
      readerTimeoutMilliseconds: 5_000,
    }),
    serviceRoutes: new ServiceRoutes({
      dispatcher: {
        async *dispatch(work) {
          dispatchedWork.push(work);
          yield { contentType: 'text/plain', endsWithConnection: false, kind: 'head', status: 200 };
          yield { data: Buffer.from('done'), kind: 'data' };
          yield await Promise.resolve({
            kind: 'done',
            usage: { cachedTokens: 0, outputTokens: 0, promptTokens: 0 },
          });
        },
      },
      readerTimeoutMilliseconds: 5_000,
    }),
  });
  const server = new CallerServer({
    headLimitBytes: 4_096,
    logger: silentLogger,
    maximumConnections,
    router,
    senderTimeoutMilliseconds: 1_000,
    timers,
  });
  const httpServer = (server as unknown as { server: { address(): AddressInfo } }).server;
  Object.defineProperty(port, 'number', { get: () => httpServer.address().port });
  return server;
}

/** Sends bytes on a new connection and reads until the connection closes. */
async function exchange(
  port: number,
  bytes: string | Uint8Array,
  keepsWriteSideOpen = false,
): Promise<string> {
  return await new Promise(resolve => {
    const chunks: Buffer[] = [];
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(bytes);
      if (!keepsWriteSideOpen) {
        socket.end();
      }
    });
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(Buffer.concat(chunks).toString('latin1'));
    });
  });
}

function errorKindOf(response: string): string | undefined {
  return /"kind":"([a-z-]+)"/.exec(response)?.[1];
}

const authorizationHeader = `Authorization: Bearer ${KEY}\r\n`;
const formatGet = (target: string, headers = ''): string =>
  `GET ${target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${headers}\r\n`;
const formatPost = (target: string, body: string, headers = authorizationHeader): string =>
  `POST ${target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

describe(CallerServer, () => {
  const port = { number: 0 };
  const server = createServer(port, 20);

  beforeAll(async () => server.listen('127.0.0.1', 0));
  afterAll(async () => server.drain());

  it.each([
    ['input that is not HTTP', 'hello\r\n\r\n', 400, 'bad-request'],
    ['an oversized head', formatGet('/x', `X: ${'a'.repeat(8_000)}\r\n`), 431, 'headers-too-large'],
    ['no key', formatGet('/v1/programs/x'), 401, 'key-missing'],
    [
      'a wrong key',
      formatGet('/v1/programs/x', 'Authorization: Bearer no\r\n'),
      401,
      'key-rejected',
    ],
    ['an unknown route', formatGet('/nowhere'), 404, 'not-found'],
    [
      'an unknown service',
      formatGet('/v1/services/no/x', authorizationHeader),
      404,
      'service-not-found',
    ],
    ['a wrong method', formatGet('/v1/programs', authorizationHeader), 405, 'method-not-allowed'],
    ['CONNECT', 'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n', 405, 'method-not-allowed'],
    ['an oversized body', formatPost('/v1/programs', 'x'.repeat(3_000)), 413, 'body-too-large'],
    ['a deeply nested body', formatPost('/v1/programs', '['.repeat(100)), 400, 'body-too-deep'],
    ['an unknown field', formatPost('/v1/programs', '{"policy":"p","x":1}'), 400, 'bad-request'],
    [
      'a call without input',
      formatPost('/v1/programs/p/calls', '{"call":"c"}'),
      400,
      'bad-request',
    ],
    [
      'two authorization headers',
      formatGet('/v1/programs/x', authorizationHeader + authorizationHeader),
      400,
      'bad-request',
    ],
    ['a key in the query', formatGet(`/status?key=${KEY}`), 400, 'bad-request'],
    ['a key in a header', formatGet('/status', `Idempotency-Key: ${KEY}\r\n`), 400, 'bad-request'],
    [
      'an encoded dot segment that leaves an open route',
      formatGet('/status/%2e%2e/orders'),
      400,
      'bad-request',
    ],
    [
      'both a content length and a transfer encoding',
      'POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      400,
      'bad-request',
    ],
  ])('refuses %s', async (_name, bytes, status, kind) => {
    const response = await exchange(port.number, bytes);
    expect(response).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(errorKindOf(response)).toBe(kind);
    expect(response).toContain('"ran":"no"');
    expect(dispatchedWork).toHaveLength(0);
  });

  it('reports after an unexpected error that the request may have run', async () => {
    const response = await exchange(port.number, formatGet('/v1/programs/x', authorizationHeader));
    expect(response).toMatch(/^HTTP\/1\.1 500 /);
    expect(errorKindOf(response)).toBe('internal');
    expect(response).toContain('"ran":"maybe"');
  });

  it('lists the allowed methods of a route', async () => {
    expect(await exchange(port.number, formatGet('/v1/programs', authorizationHeader))).toMatch(
      /allow: POST/i,
    );
  });

  it('refuses a request that arrives too slowly', async () => {
    const head = `POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n`;
    for (const bytes of [head, 'GET /status HT']) {
      expect(errorKindOf(await exchange(port.number, bytes, true))).toBe('slow-sender');
    }
    expect(dispatchedWork).toHaveLength(0);
  });

  it('refuses connections beyond the limit', async () => {
    const sockets = Array.from({ length: 20 }, () => connect(port.number, '127.0.0.1'));
    await Promise.all(sockets.map(async each => new Promise(done => each.once('connect', done))));
    const response = await exchange(port.number, formatGet('/status'));
    sockets.forEach(each => each.destroy());
    expect(errorKindOf(response)).toBe('too-many-connections');
    let laterResponse = response;
    while (errorKindOf(laterResponse) === 'too-many-connections') {
      laterResponse = await exchange(port.number, formatGet('/status'));
    }
    expect(laterResponse).toMatch(/^HTTP\/1.1 200 /);
    dispatchedWork.length = 0;
  });

  it('forwards neither the key nor headers outside the allowlist to an upstream', async () => {
    const headers = `${authorizationHeader}Cookie: a=b\r\nX-Key: ${KEY}\r\nContent-Type: text/plain\r\nIdempotency-Key: order-7\r\n`;
    const response = await exchange(
      port.number,
      formatPost('/v1/services/ticket-app/o?x=1', 'b', headers),
    );
    expect(response).toMatch(/^HTTP\/1.1 200 /);
    const [work] = dispatchedWork.splice(0);
    expect(work).toMatchObject({
      call: 'order-7',
      isIdempotent: false,
      payload: { contentType: 'text/plain', method: 'POST', path: '/o?x=1' },
      workspace: 'utility',
    });
    expect(JSON.stringify({ ...work, rule: undefined })).not.toContain(KEY);
  });

  it('ends a response in progress when its key is withdrawn', async () => {
    const body = '{"call":"c","turn":1,"service":"ticket-app","input":"x"}';
    const withdrawal = setInterval(() => {
      const change = { withdrawnKeys: [hashKey(KEY)] };
      listeners.forEach(listener => {
        listener(undefined as never, change as unknown as Parameters<Listener>[1]);
      });
    }, 200);
    const response = await exchange(port.number, formatPost('/v1/programs/p/calls', body), true);
    clearInterval(withdrawal);
    expect(response).toContain('"text":"beginning"');
    expect(errorKindOf(response)).toBe('key-withdrawn-while-running');
  });

  it('handles arbitrary input without internal errors and stays inside the open route’s prefix', async () => {
    const fragment = fc.oneof(
      fc.constantFrom(...[' ', '\r\n', '\r\n\r\n', 'GET ', 'POST ', 'HEAD ', '/status', '/../']),
      fc.constantFrom(...['/%2e%2e/', '//', '?', 'HTTP/1.1', 'Host: x\r\n', 'Content-Length: 3']),
      fc.constantFrom(
        ...['Transfer-Encoding: chunked\r\n', authorizationHeader, '/v1/programs', '{"policy":1}'],
      ),
      fc.string({ maxLength: 6, unit: 'binary' }),
    );
    const request = fc.tuple(
      fc.constantFrom(
        '',
        formatGet('/status').slice(0, 12),
        'POST /v1/programs HTTP/1.1\r\nHost: x\r\n',
      ),
      fc.array(fragment, { maxLength: 10 }),
    );
    await fc.assert(
      fc.asyncProperty(request, async ([start, fragments]) => {
        const response = await exchange(port.number, Buffer.from(start + fragments.join('')));
        const kind = errorKindOf(response);
        expect(response).toMatch(/^(HTTP\/1.1 [2-5]\d\d |$)/);
        expect(kind === undefined || isErrorKind(kind)).toBe(true);
        expect(response).not.toMatch(/"kind":"internal"/);
        for (const work of dispatchedWork.splice(0)) {
          const { path } = work.payload as { readonly path: string };
          expect(new URL(path, 'http://s').pathname).toMatch(/^\/status(\/|$)/);
        }
      }),
      { numRuns: 500, seed: 45 },
    );
  });
});

describe('a caller server without a configuration', () => {
  const port = { number: 0 };
  const server = createServer(port, 20, false);

  beforeAll(async () => server.listen('127.0.0.1', 0));
  afterAll(async () => server.drain());

  it('refuses every request as not ready', async () => {
    const response = await exchange(port.number, formatGet('/v1/programs/x', authorizationHeader));
    expect(response).toMatch(/^HTTP\/1\.1 503 /);
    expect(errorKindOf(response)).toBe('instance-not-ready');
  });
});
