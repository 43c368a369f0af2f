import { hashKey } from '@zincring/core';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { CallerClient } from '../src/launch/callerClient.js';
import { Fleet } from '../src/launch/fleet.js';

const KEY = 'thin-path-key';

const rules = `
workspace utility rate=1000 burst=1000 # dana: the pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
service minutes-llm protocol=engine fencing=checked timeout=30 # omar: models
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=100000 calls=50 # dana: traces
`;

describe('the complete path of a call through separate processes', () => {
  let fleet: Fleet;
  const client = new CallerClient(KEY);

  beforeAll(async () => {
    fleet = await Fleet.start({
      engines: 1,
      instances: 3,
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

  async function open(): Promise<string> {
    return await client.openWhenReady(fleet.instances[0]!.callerAddress, 'trace');
  }

  it('keeps the history of a program while each instance in turn is killed', async () => {
    const program = await open();
    const responseTexts: string[] = [];
    for (let turn = 1; turn <= 6; turn++) {
      await fleet.waitUntilReady();
      const instance = fleet.instances[turn % 3]!;
      const request = {
        call: `call-${turn}`,
        input: `question ${turn}`,
        maxTokens: 4,
        service: 'minutes-llm',
        turn,
      };
      const response = await client.call(instance.callerAddress, program, request);
      expect(response).toMatchObject({
        closed: { durable: true, turn },
        error: undefined,
        status: 200,
      });
      responseTexts.push(response.text);
      const victim = fleet.instances[(turn + 1) % 3]!;
      await victim.process.kill();
      fleet.restart(victim);
    }
    const repeated = await client.call(fleet.instances[0]!.callerAddress, program, {
      call: 'call-1',
      input: 'question 1',
      maxTokens: 4,
      service: 'minutes-llm',
      turn: 1,
    });
    expect(repeated.text).toBe(responseTexts[0]);
    const state = await client.describeProgram(fleet.instances[0]!.callerAddress, program);
    expect(state.body).toMatchObject({ turn: 6 });
  });
});
