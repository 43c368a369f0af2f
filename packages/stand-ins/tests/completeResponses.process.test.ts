import { hashKey } from '@zincring/core';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import type { CallResponse } from '../src/launch/callerClient.js';
import type { FleetInstance } from '../src/launch/fleet.js';

import { CallerClient } from '../src/launch/callerClient.js';
import { Fleet } from '../src/launch/fleet.js';

const KEY = 'whole-answers-key';
const OTHER_KEY = 'other-workspace-key';
const RESPONSE_TOKENS = 150;

const rules = `
workspace utility rate=1000 burst=1000 # dana: the pilot
workspace foundation rate=1000 burst=1000 # dana: the second pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
key ranger workspace=foundation hash=${hashKey(OTHER_KEY)} # dana: rangers
service minutes-llm protocol=engine fencing=checked timeout=60 # omar: models
program trace services=minutes-llm tokens=1000000 calls=500 # dana: traces
`;

describe('responses of instances', () => {
  let fleet: Fleet;
  const client = new CallerClient(KEY);

  beforeAll(async () => {
    fleet = await Fleet.start({
      engineCommandLine: ['--step-milliseconds', '20'],
      engines: 1,
      instances: 3,
      plainServices: 0,
      settings: { logLevel: 'silent' },
      zones: ['nelson', 'castlegar', 'trail'],
    });
    await fleet.applyRules(rules);
    await fleet.waitUntilReady();
  });

  afterAll(async () => {
    await fleet.stop();
  });

  async function open(name: string): Promise<string> {
    return await client.openWhenReady(fleet.instances[0]!.callerAddress, 'trace', name);
  }

  async function call(
    instance: FleetInstance,
    program: string,
    turn: number,
  ): Promise<CallResponse> {
    return await client.call(instance.callerAddress, program, {
      call: `call-${turn}`,
      input: `question ${turn}`,
      maxTokens: RESPONSE_TOKENS,
      service: 'minutes-llm',
      turn,
    });
  }

  /**
   * Checks that the text contains the numbered tokens of one prompt, each once and in order.
   */
  function expectTokensInOrder(text: string): void {
    const tokens = text.split(' ').filter(token => token !== '');
    const prompt = tokens[0]?.split('-')[0] ?? '';
    expect(tokens).toEqual(tokens.map((_token, index) => `${prompt}-${index}`));
  }

  /** Resends the call until its response is complete; after 25 s, returns the last response. */
  async function resendUntilComplete(program: string): Promise<CallResponse> {
    const deadline = performance.now() + 25_000;
    for (;;) {
      const response = await call(fleet.instances[1]!, program, 1);
      if (response.closed !== undefined || performance.now() > deadline) {
        expect(response.error).toBeUndefined();
        return response;
      }
      await new Promise(resolve => setTimeout(resolve, 500));
    }
  }

  it.each(['SIGKILL', 'SIGSTOP'] as const)(
    'are complete or end with an error when any instance gets %s, and are complete after a resend',
    async signal => {
      const entry = fleet.instances[0]!;
      for (const victim of fleet.instances) {
        const program = await open(`${signal}-${victim.id}`);
        const firstResponse = call(entry, program, 1).catch(() => undefined);
        await new Promise(resolve => setTimeout(resolve, 1_000));
        victim.process.signal(signal);
        const resume = async (): Promise<void> => {
          if (signal === 'SIGSTOP') {
            victim.process.signal('SIGCONT');
          } else {
            await victim.process.waitForExit();
            fleet.restart(victim);
          }
        };
        if (victim === entry) {
          await new Promise(resolve => setTimeout(resolve, 4_000));
          await resume();
        }
        const first = await firstResponse;
        if (victim !== entry) {
          await resume();
        }
        if (first !== undefined) {
          expectTokensInOrder(first.text);
          expect((first.closed === undefined) !== (first.error === undefined)).toBe(true);
        }
        await fleet.waitUntilReady();
        const again = await resendUntilComplete(program);
        expectTokensInOrder(again.text);
        expect(again.text.split(' ')).toHaveLength(RESPONSE_TOKENS + 1);
        expect(again.closed).toMatchObject({ turn: 1 });
      }
    },
  );

  it('do not reveal whether a program of another workspace exists', async () => {
    const program = await open('private');
    const other = new CallerClient(OTHER_KEY);
    const { callerAddress } = fleet.instances[1]!;
    const responses = await Promise.all(
      [program, 'no-such-program'].map(async id => other.describeProgram(callerAddress, id)),
    );
    expect(responses[0]).toEqual(responses[1]);
    expect(responses[0]?.body).toMatchObject({ kind: 'program-not-found' });
  });
});
