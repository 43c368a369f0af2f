import { readFile, writeFile } from 'node:fs/promises';
import { Agent, request } from 'node:http';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { CallerClient } from '../../stand-ins/src/launch/callerClient.js';
import { Fleet } from '../../stand-ins/src/launch/fleet.js';
import { waitUntil } from '../../stand-ins/src/launch/waitUntil.js';
import { CuttableProxy } from './cuttableProxy.js';

/** Maximum time until a change is in force on every instance, in milliseconds. */
const MAXIMUM_IN_FORCE_DELAY_MILLISECONDS = 5_000;
const INSTANCE_COUNT = 5;

const rules = `
workspace utility rate=1000 burst=1000 # dana: the pilot
service minutes-llm protocol=engine fencing=checked timeout=30 # omar: models
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=100000 calls=50 # dana: traces
`;
const attributionArguments = ['--requester', 'dana', '--reason', 'the test'];

/** Caller that keeps its connection open. */
class KeepAliveCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  /** Local ports used so far, which show whether the connection was reused. */
  public readonly ports = new Set<number | undefined>();

  public constructor(
    private readonly address: string,
    private readonly key: string,
  ) {}

  public async status(): Promise<number> {
    return await new Promise((resolve, reject) => {
      const outgoing = request(`http://${this.address}/v1/programs/unknown`, {
        agent: this.agent,
        headers: { authorization: `Bearer ${this.key}` },
      });
      outgoing.on('error', reject);
      outgoing.on('response', response => {
        this.ports.add(outgoing.socket?.localPort);
        response.resume();
        response.on('end', () => {
          resolve(response.statusCode ?? 0);
        });
      });
      outgoing.end();
    });
  }

  public close(): void {
    this.agent.destroy();
  }
}

describe('configuration changes across separate processes', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await Fleet.start({
      engines: 1,
      instances: INSTANCE_COUNT,
      plainServices: 1,
      settings: { logLevel: 'silent' },
      zones: ['nelson', 'castlegar', 'trail'],
    });
    await fleet.applyRules(rules);
    await fleet.waitUntilReady();
  });

  afterAll(async () => {
    await fleet.stop();
  });

  async function runControl(...commandLine: readonly string[]): Promise<Record<string, unknown>> {
    const { exitCode, output } = await fleet.runZincringctl(...commandLine, '--json');
    expect(exitCode, output).toBe(0);
    return JSON.parse(output) as Record<string, unknown>;
  }

  async function issueKey(name: string): Promise<string> {
    const waitArguments = ['--wait-seconds', String(MAXIMUM_IN_FORCE_DELAY_MILLISECONDS / 1_000)];
    const issued = await runControl(
      'keys',
      'issue',
      name,
      '--workspace',
      'utility',
      ...attributionArguments,
      ...waitArguments,
    );
    expect(issued['lagging']).toEqual([]);
    return String(issued['key']);
  }

  it('rejects a withdrawn key on all instances within 5 s, including on open connections', async () => {
    const key = await issueKey('clerk');
    const callers = fleet.instances.map(
      instance => new KeepAliveCaller(instance.callerAddress, key),
    );
    for (const caller of callers) {
      expect(await caller.status()).toBe(404);
    }
    await runControl('keys', 'withdraw', 'clerk', ...attributionArguments, '--wait-seconds', '0');
    const withdrawnAt = performance.now();
    await waitUntil(async () => {
      const statuses = await Promise.all(callers.map(async caller => caller.status()));
      return statuses.every(status => status === 401);
    }, MAXIMUM_IN_FORCE_DELAY_MILLISECONDS);
    expect(performance.now() - withdrawnAt).toBeLessThan(MAXIMUM_IN_FORCE_DELAY_MILLISECONDS);
    expect(callers.map(({ ports }) => ports.size)).toEqual(callers.map(() => 1));
    callers.forEach(caller => {
      caller.close();
    });
  });

  it('shows instances, shards, upstreams and programs to operators', async () => {
    const client = new CallerClient(await issueKey('crew'));
    const program = await client.openWhenReady(fleet.instances[0]!.callerAddress, 'trace');
    const shown = await runControl('programs', 'show', program);
    expect(shown).toMatchObject({ policy: 'trace', program, turn: 0, workspace: 'utility' });
    interface Status {
      readonly instances: readonly {
        readonly ready: boolean;
        readonly shards: readonly number[];
        readonly upstreams: readonly unknown[];
      }[];
    }
    await waitUntil(async () => {
      const { instances } = (await runControl('status')) as unknown as Status;
      return (
        instances.length === INSTANCE_COUNT &&
        instances.every(({ ready, upstreams }) => ready && upstreams.length === 2) &&
        new Set(instances.flatMap(({ shards }) => shards)).size === 256
      );
    });
  });

  it('rejects a withdrawn key within 5 s on an instance that cannot reach the store', async () => {
    const key = await issueKey('pilot');
    const proxy = await CuttableProxy.start(fleet.platform.address);
    const instance = fleet.instances[1]!;
    const settings = JSON.parse(await readFile(instance.settingsFile, 'utf8')) as object;
    const proxiedSettings = { ...settings, platform: { address: proxy.address } };
    await writeFile(instance.settingsFile, JSON.stringify(proxiedSettings));
    await instance.process.kill();
    fleet.restart(instance);
    await fleet.waitUntilReady();
    const caller = new KeepAliveCaller(instance.callerAddress, key);
    await waitUntil(async () => (await caller.status()) !== 503);
    proxy.cut();
    await runControl('keys', 'withdraw', 'pilot', ...attributionArguments, '--wait-seconds', '0');
    await waitUntil(
      async () => (await caller.status()) === 401,
      MAXIMUM_IN_FORCE_DELAY_MILLISECONDS,
    );
    await fleet.waitUntilReady();
    proxy.heal();
    caller.close();
    await writeFile(instance.settingsFile, JSON.stringify(settings));
    await instance.process.kill();
    fleet.restart(instance);
    await fleet.waitUntilReady();
    proxy.close();
  });

  it('restarts during an outage of the store with the configuration of its peers', async () => {
    const key = await issueKey('ranger');
    await fleet.controlPlatform('faults', { outage: 'refuse' });
    const instance = fleet.instances[2]!;
    await instance.process.kill();
    fleet.restart(instance);
    await fleet.waitUntilReady();
    const caller = new KeepAliveCaller(instance.callerAddress, key);
    expect(await caller.status()).not.toBe(401);
    caller.close();
    await fleet.controlPlatform('faults', { outage: 'none' });
    await waitUntil(async () => (await fleet.runZincringctl('status')).exitCode === 0);
  });
});
