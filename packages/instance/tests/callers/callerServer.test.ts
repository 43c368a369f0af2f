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

const works: UpstreamWork[] = [];
const unused = async (): Promise<never> => Promise.reject(new Error('not used'));
const programs: ProgramService = {
  async *call() {
    yield { data: Buffer.from('beginning'), kind: 'data', offset: 0 };
    yield await new Promise<never>(() => undefined);
  },
  describe: unused,
  end: unused,
  open: unused,
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
          works.push(work);
          yield { contentType: 'text/plain', kind: 'head', status: 200 };
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
  const inner = (server as unknown as { server: { address(): AddressInfo } }).server;
  Object.defineProperty(port, 'number', { get: () => inner.address().port });
  return server;
}

/** Sends bytes on a connection of their own and reads all that comes back. */
async function exchange(port: number, bytes: string | Uint8Array, isOpen = false): Promise<string> {
  return await new Promise(resolve => {
    const chunks: Buffer[] = [];
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(bytes);
      if (!isOpen) {
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

function kindOf(answer: string): string | undefined {
  return /"kind":"([a-z-]+)"/.exec(answer)?.[1];
}

const auth = `Authorization: Bearer ${KEY}\r\n`;
const get = (target: string, headers = ''): string =>
  `GET ${target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${headers}\r\n`;
const post = (target: string, body: string, headers = auth): string =>
  `POST ${target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

describe(CallerServer, () => {
  const port = { number: 0 };
  const server = createServer(port, 20);

  beforeAll(async () => server.listen('127.0.0.1', 0));
  afterAll(async () => server.drain());

  it.each([
    ['nothing of HTTP', 'hello\r\n\r\n', 400, 'bad-request'],
    [
      'a head that is too large',
      get('/x', `X: ${'a'.repeat(8_000)}\r\n`),
      431,
      'headers-too-large',
    ],
    ['no key', get('/v1/programs/x'), 401, 'key-missing'],
    ['a wrong key', get('/v1/programs/x', 'Authorization: Bearer no\r\n'), 401, 'key-rejected'],
    ['an unknown route', get('/nowhere'), 404, 'not-found'],
    ['an unknown service', get('/v1/services/no/x', auth), 404, 'service-not-found'],
    ['a wrong method', get('/v1/programs', auth), 405, 'method-not-allowed'],
    ['CONNECT', 'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n', 405, 'method-not-allowed'],
    ['a long body', post('/v1/programs', 'x'.repeat(3_000)), 413, 'body-too-large'],
    ['a deep body', post('/v1/programs', '['.repeat(100)), 400, 'body-too-deep'],
    ['an unknown field', post('/v1/programs', '{"policy":"p","x":1}'), 400, 'bad-request'],
    ['a call without input', post('/v1/programs/p/calls', '{"call":"c"}'), 400, 'bad-request'],
    ['two keys', get('/v1/programs/x', auth + auth), 400, 'bad-request'],
    ['a key in the query', get(`/status?key=${KEY}`), 400, 'bad-request'],
    ['a key in a header', get('/status', `Idempotency-Key: ${KEY}\r\n`), 400, 'bad-request'],
    ['a way out of an open route', get('/status/%2e%2e/orders'), 400, 'bad-request'],
    [
      'two lengths',
      'POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      400,
      'bad-request',
    ],
  ])('refuses %s', async (_name, bytes, status, kind) => {
    const answer = await exchange(port.number, bytes);
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(kindOf(answer)).toBe(kind);
    expect(answer).toContain('"ran":"no"');
    expect(works).toHaveLength(0);
  });

  it('says of an unexpected fault that the request may have run', async () => {
    const answer = await exchange(port.number, get('/v1/programs/x', auth));
    expect(answer).toMatch(/^HTTP\/1\.1 500 /);
    expect(kindOf(answer)).toBe('internal');
    expect(answer).toContain('"ran":"maybe"');
  });

  it('names the methods that a route takes', async () => {
    expect(await exchange(port.number, get('/v1/programs', auth))).toMatch(/allow: POST/i);
  });

  it('refuses a sender that is too slow', async () => {
    const head = `POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n`;
    for (const bytes of [head, 'GET /status HT']) {
      expect(kindOf(await exchange(port.number, bytes, true))).toBe('slow-sender');
    }
    expect(works).toHaveLength(0);
  });

  it('refuses connections over the limit', async () => {
    const sockets = Array.from({ length: 20 }, () => connect(port.number, '127.0.0.1'));
    await Promise.all(sockets.map(async each => new Promise(done => each.once('connect', done))));
    const answer = await exchange(port.number, get('/status'));
    sockets.forEach(each => each.destroy());
    expect(kindOf(answer)).toBe('too-many-connections');
    let later = answer;
    while (kindOf(later) === 'too-many-connections') {
      later = await exchange(port.number, get('/status'));
    }
    expect(later).toMatch(/^HTTP\/1.1 200 /);
    works.length = 0;
  });

  it('gives an upstream neither the key nor headers that are not on the list', async () => {
    const headers = `${auth}Cookie: a=b\r\nX-Key: ${KEY}\r\nContent-Type: text/plain\r\nIdempotency-Key: order-7\r\n`;
    const answer = await exchange(port.number, post('/v1/services/ticket-app/o?x=1', 'b', headers));
    expect(answer).toMatch(/^HTTP\/1.1 200 /);
    const [work] = works.splice(0);
    expect(work).toMatchObject({
      call: 'order-7',
      isIdempotent: false,
      payload: { contentType: 'text/plain', method: 'POST', path: '/o?x=1' },
      workspace: 'utility',
    });
    expect(JSON.stringify({ ...work, rule: undefined })).not.toContain(KEY);
  });

  it('ends an answer under way when its key is withdrawn', async () => {
    const body = '{"call":"c","turn":1,"service":"ticket-app","input":"x"}';
    const withdrawal = setInterval(() => {
      const change = { withdrawnKeys: [hashKey(KEY)] };
      listeners.forEach(listener => {
        listener(undefined as never, change as unknown as Parameters<Listener>[1]);
      });
    }, 200);
    const answer = await exchange(port.number, post('/v1/programs/p/calls', body), true);
    clearInterval(withdrawal);
    expect(answer).toContain('"text":"beginning"');
    expect(kindOf(answer)).toBe('key-withdrawn-while-running');
  });

  it('answers any bytes clearly and lets none out of an open route', async () => {
    const piece = fc.oneof(
      fc.constantFrom(...[' ', '\r\n', '\r\n\r\n', 'GET ', 'POST ', 'HEAD ', '/status', '/../']),
      fc.constantFrom(...['/%2e%2e/', '//', '?', 'HTTP/1.1', 'Host: x\r\n', 'Content-Length: 3']),
      fc.constantFrom(...['Transfer-Encoding: chunked\r\n', auth, '/v1/programs', '{"policy":1}']),
      fc.string({ maxLength: 6, unit: 'binary' }),
    );
    const request = fc.tuple(
      fc.constantFrom('', get('/status').slice(0, 12), 'POST /v1/programs HTTP/1.1\r\nHost: x\r\n'),
      fc.array(piece, { maxLength: 10 }),
    );
    await fc.assert(
      fc.asyncProperty(request, async ([start, pieces]) => {
        const answer = await exchange(port.number, Buffer.from(start + pieces.join('')));
        const kind = kindOf(answer);
        expect(answer).toMatch(/^(HTTP\/1.1 [2-5]\d\d |$)/);
        expect(kind === undefined || isErrorKind(kind)).toBe(true);
        expect(answer).not.toMatch(/"kind":"internal"/);
        for (const work of works.splice(0)) {
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

  it('refuses every request until it has one', async () => {
    const answer = await exchange(port.number, get('/v1/programs/x', auth));
    expect(answer).toMatch(/^HTTP\/1\.1 503 /);
    expect(kindOf(answer)).toBe('instance-not-ready');
  });
});
