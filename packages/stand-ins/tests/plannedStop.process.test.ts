import { hashKey } from '@zincring/core';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { CallerClient } from '../src/launch/callerClient.js';
import { controlStandIn, Fleet } from '../src/launch/fleet.js';
import { waitUntil } from '../src/launch/waitUntil.js';
import { LoadBalancer } from '../src/launch/loadBalancer.js';
import { SteadyLoad } from '../src/launch/steadyLoad.js';

const KEY = 'planned-stop-key';

const rules = `
workspace utility rate=100000 burst=100000 # dana: the pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
service minutes-llm protocol=engine fencing=checked timeout=30 # omar: models
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=100000 calls=50 # dana: traces
`;

interface Executions {
  readonly executions: readonly { readonly call: string }[];
}

describe('a planned stop', () => {
  let fleet: Fleet;
  const client = new CallerClient(KEY);

  beforeAll(async () => {
    fleet = await Fleet.start({
      directoryLagMilliseconds: 1_000,
      engines: 2,
      instances: 3,
      plainServices: 2,
      settings: { drainNoticeMilliseconds: 1_500, logLevel: 'silent' },
      zones: ['nelson', 'castlegar', 'trail'],
    });
    await fleet.applyRules(rules);
    await fleet.waitUntilReady();
    await waitUntil(async () => {
      const opened = await client.openProgram(fleet.instances[0]!.callerAddress, 'trace');
      return opened.status === 201;
    });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  async function listExecutedCalls(): Promise<readonly string[]> {
    const services = fleet.upstreams.filter(upstream => upstream.service === 'ticket-app');
    const recorded = await Promise.all(
      services.map(async ({ standIn }) => controlStandIn(standIn.address, 'executions')),
    );
    return recorded.flatMap(each => (each as Executions).executions.map(({ call }) => call));
  }

  const nonDurableCalls: string[] = [];

  it('of each instance in turn interrupts no response, refuses no call and loses no history', async () => {
    const balancer = new LoadBalancer(fleet.instances);
    await balancer.start();
    const load = new SteadyLoad({
      client,
      maxTokens: 40,
      pickAddress: () => balancer.pick(),
      policy: 'trace',
      programs: 6,
      turns: 4,
    });
    load.start();
    const exitCodes: (number | null)[] = [];
    for (const instance of fleet.instances) {
      const finished = load.finished.length;
      await waitUntil(async () =>
        Promise.resolve(load.failures.length > 0 || load.finished.length >= finished + 6),
      );
      for (const signal of ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT'] as const) {
        instance.process.signal(signal);
      }
      exitCodes.push(await instance.process.waitForExit());
      fleet.restart(instance);
      await fleet.waitUntilReady();
    }
    await load.stop();
    balancer.stop();
    nonDurableCalls.push(...load.nonDurableCalls);

    expect(load.failures).toEqual([]);
    expect(exitCodes).toEqual([0, 0, 0]);
    const orders = (await listExecutedCalls()).map(call => call.slice(call.lastIndexOf('/') + 1));
    expect([...orders].sort()).toEqual([...load.answeredOrders].sort());
    await checkHistories(load);
  });

  it('reports every turn that completes during a handover of shards as durable', () => {
    expect(nonDurableCalls).toEqual([]);
  });

  async function checkHistories(load: SteadyLoad): Promise<void> {
    for (const { responseTexts, program } of load.finished) {
      const address = fleet.instances[0]!.callerAddress;
      const state = await client.describeProgram(address, program);
      expect(state.body).toMatchObject({
        durableTurn: responseTexts.length,
        turn: responseTexts.length,
      });
    }
  }

  it('of an upstream sends it no new calls after 3 s, although the list of instances lags', async () => {
    const leaving = fleet.upstreams.find(upstream => upstream.service === 'ticket-app')!;
    const countExecutions = async (): Promise<number> => {
      const recorded = await controlStandIn(leaving.standIn.address, 'executions');
      return (recorded as Executions).executions.length;
    };
    const sendOrder = async (index: number): Promise<void> => {
      const instance = fleet.instances[index % 3]!;
      const response = await fetch(
        `http://${instance.callerAddress}/v1/services/ticket-app/orders`,
        { body: '{}', headers: { authorization: `Bearer ${KEY}` }, method: 'POST' },
      );
      expect(response.status).toBe(200);
    };
    await fleet.markLeaving(leaving.id);
    await new Promise(resolve => setTimeout(resolve, 3_000));
    const before = await countExecutions();
    for (let index = 0; index < 30; index++) {
      await sendOrder(index);
    }
    expect(await countExecutions()).toBe(before);
  });
});
