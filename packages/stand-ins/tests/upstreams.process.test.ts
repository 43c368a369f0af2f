import { hashKey } from '@zincring/core';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { CRASH_MARKER } from '../src/engine/engineServer.js';
import { CallerClient } from '../src/launch/callerClient.js';
import { controlStandIn, Fleet } from '../src/launch/fleet.js';
import { waitUntil } from '../src/launch/waitUntil.js';

const KEY = 'upstreams-process-key';

const rules = `
workspace utility rate=1000 burst=1000 # dana: the pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
service minutes-llm protocol=engine fencing=checked timeout=30 # omar: models
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=100000 calls=50 # dana: traces
`;

describe('engines behind real instances', () => {
  let fleet: Fleet;
  const client = new CallerClient(KEY);

  beforeAll(async () => {
    fleet = await Fleet.start({
      engines: 4,
      instances: 3,
      plainServices: 1,
      settings: { logLevel: 'silent', upstreams: { sweepMilliseconds: 500 } },
      zones: ['nelson', 'castlegar', 'trail'],
    });
    await fleet.applyRules(rules);
    await fleet.waitUntilReady();
  });

  afterAll(async () => {
    await fleet.stop();
  });

  async function open(instance: number): Promise<string> {
    return await client.openWhenReady(fleet.instances[instance]!.callerAddress, 'trace');
  }

  async function listHeldPrograms(): Promise<readonly string[]> {
    const held = await Promise.all(
      fleet.upstreams
        .filter(upstream => upstream.service === 'minutes-llm')
        .map(async upstream => {
          const response = await fetch(`http://${upstream.standIn.address}/v1/held`);
          const body = (await response.json()) as { readonly programs: object };
          return Object.keys(body.programs);
        }),
    );
    return held.flat();
  }

  async function ask(instance: number, program: string, turn: number): Promise<void> {
    const response = await client.call(fleet.instances[instance]!.callerAddress, program, {
      call: `call-${turn}`,
      input: `question ${turn} of ${program}`,
      maxTokens: 4,
      service: 'minutes-llm',
      turn,
    });
    expect(response.closed).toMatchObject({ turn });
  }

  it('release the cache of an ended program, even if release requests are lost', async () => {
    for (const upstream of fleet.upstreams.filter(each => each.service === 'minutes-llm')) {
      await controlStandIn(upstream.standIn.address, 'behaviour', { lostOrders: 2 });
    }
    const program = await open(0);
    await ask(0, program, 1);
    await ask(1, program, 2);
    expect(await listHeldPrograms()).toContain(program);
    const ended = await client.endProgram(fleet.instances[2]!.callerAddress, program);
    expect(ended.status).toBe(200);
    await waitUntil(async () => !(await listHeldPrograms()).includes(program));
  });

  it('release the cache of a program that ends after its home was killed', async () => {
    const ended = await open(0);
    const alive = await open(1);
    await ask(1, ended, 1);
    await ask(1, alive, 1);
    for (const instance of fleet.instances) {
      await instance.process.kill();
      fleet.restart(instance);
      await fleet.waitUntilReady();
    }
    const response = await client.endProgram(fleet.instances[2]!.callerAddress, ended);
    expect(response.status).toBe(200);
    await waitUntil(async () => !(await listHeldPrograms()).includes(ended));
    expect(await listHeldPrograms()).toContain(alive);
  });

  it('crash only twice on a poison request that is resent through every instance', async () => {
    let crashCount = 0;
    for (const upstream of fleet.upstreams) {
      void upstream.standIn.process.waitForExit().then(() => crashCount++);
    }
    const kinds: unknown[] = [];
    for (let resend = 0; resend < 6; resend++) {
      const program = await open(resend % 3);
      const response = await client.call(fleet.instances[resend % 3]!.callerAddress, program, {
        call: `poison-${resend}`,
        input: CRASH_MARKER,
        maxTokens: 4,
        service: 'minutes-llm',
        turn: 1,
      });
      kinds.push(response.error?.['kind']);
    }
    expect(kinds.at(-1)).toBe('poison-request');
    expect(crashCount).toBe(2);
  });
});
