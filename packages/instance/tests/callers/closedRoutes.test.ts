import type { ConfigurationVersion } from '@zincring/core';
import type { Configuration } from '@zincring/rules';
import type { AddressInfo } from 'node:net';

import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { Ok, silentLogger, SystemTimerService } from '@zincring/core';
import { createConfiguration, parseRules } from '@zincring/rules';
import { describe, expect, it } from 'vitest';

import type { UpstreamDispatcher } from '../../src/upstreams/upstreamMessages.js';

import { CallerRouter } from '../../src/callers/callerRouter.js';
import { CallerServer } from '../../src/callers/callerServer.js';
import { ProgramRoutes } from '../../src/callers/programRoutes.js';
import { ServiceRoutes } from '../../src/callers/serviceRoutes.js';
import { KeyWatch } from '../../src/configuration/keyWatch.js';

/** Time after which a server has read what was sent, in milliseconds. */
const ARRIVAL_MILLISECONDS = 100;

function makeConfiguration(version: number, route: string): Configuration {
  const rules = `
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
${route}
`;
  return createConfiguration(version as ConfigurationVersion, parseRules(rules).unwrap());
}

const openRoute = 'route status path=/status service=ticket-app access=open # omar: outages';
const open = makeConfiguration(1, openRoute);
const rejectUnexpectedCall = async (): Promise<never> => Promise.reject(new Error('not used'));

/** Server whose configuration can be replaced. */
class ChangingServer {
  public configuration: Configuration | undefined = open;
  public dispatched = 0;
  private readonly server: CallerServer;

  public constructor() {
    const timers = new SystemTimerService();
    const follower = { current: open, subscribe: () => ({ stop: () => undefined }) };
    const router = new CallerRouter({
      admission: { admit: async () => Promise.resolve(Ok(undefined)) },
      bodyLimitBytes: 2_000,
      configuration: () => this.configuration,
      keyWatch: new KeyWatch({ follower, maximumListeners: 100 }),
      now: () => timers.now(),
      programRoutes: new ProgramRoutes({
        bodyDepthLimit: 16,
        programs: {
          call: () => {
            throw new Error('not used');
          },
          describe: rejectUnexpectedCall,
          end: rejectUnexpectedCall,
          open: rejectUnexpectedCall,
        },
        readerTimeoutMilliseconds: 5_000,
      }),
      serviceRoutes: new ServiceRoutes({
        dispatcher: { dispatch: () => this.dispatch() },
        readerTimeoutMilliseconds: 5_000,
      }),
    });
    this.server = new CallerServer({
      headLimitBytes: 4_096,
      logger: silentLogger,
      maximumConnections: 20,
      router,
      senderTimeoutMilliseconds: 5_000,
      timers,
    });
  }

  public async listen(): Promise<void> {
    await this.server.listen('127.0.0.1', 0);
  }

  public async stop(): Promise<void> {
    await this.server.drain();
  }

  /** Sends a request without a key whose body ends after a change of the configuration; returns the response. */
  public async sendAroundChange(changed: Configuration | undefined): Promise<string> {
    const { port } = (
      this.server as unknown as { server: { address(): AddressInfo } }
    ).server.address();
    const socket = connect(port, '127.0.0.1');
    let text = '';
    socket.setEncoding('latin1').on('data', (more: string) => (text += more));
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.write(
      'POST /status/7 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbo',
    );
    await pause(ARRIVAL_MILLISECONDS);
    this.configuration = changed;
    socket.write('dy');
    await closed;
    return text;
  }

  private async *dispatch(): ReturnType<UpstreamDispatcher['dispatch']> {
    this.dispatched++;
    yield { contentType: 'text/plain', endsWithConnection: false, kind: 'head', status: 200 };
    yield await Promise.resolve({
      kind: 'done',
      usage: { cachedTokens: 0, outputTokens: 0, promptTokens: 0 },
    });
  }
}

/** Guards against requests that were held open with an incomplete body until their route was closed, and then ran. */
describe('requests on open routes whose body ends after a change of the rules', () => {
  it.each([
    ['their route needs a key', makeConfiguration(2, openRoute.replace('open', 'key')), 401],
    ['their route is gone', makeConfiguration(2, openRoute.replace('/status', '/other')), 404],
    ['the rules are not known to be current', undefined, 503],
  ])('do not run once %s', async (_name, changed, status) => {
    const server = new ChangingServer();
    await server.listen();
    const response = await server.sendAroundChange(changed);
    expect(response).toMatch(new RegExp(`^HTTP/1.1 ${String(status)} `));
    expect(server.dispatched).toBe(0);
    await server.stop();
  });

  it('run while their route stays open', async () => {
    const server = new ChangingServer();
    await server.listen();
    await server.sendAroundChange(makeConfiguration(2, openRoute));
    expect(server.dispatched).toBe(1);
    await server.stop();
  });
});
