import { hashKey } from '@zincring/core';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import type { CallAnswer } from '../src/launch/callerClient.js';
import type { FleetInstance } from '../src/launch/fleet.js';
import type { Execution } from '../src/service/plainServiceServer.js';

import { CallerClient } from '../src/launch/callerClient.js';
import { controlStandIn, Fleet } from '../src/launch/fleet.js';
import { waitUntil } from '../src/launch/waitUntil.js';

const KEY = 'effects-key';
const EFFECT_MILLISECONDS = 1_500;
const FREEZE_MILLISECONDS = 9_000;

const rules = `
workspace utility rate=1000 burst=1000 # dana: the pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
service ticket-app protocol=plain idempotent=no timeout=20 # omar: work orders
program trace services=ticket-app tokens=1000 calls=50 # dana: traces
`;

interface Trial {
  readonly fault: 'SIGKILL' | 'SIGSTOP';
  /** When the home is hit, counted from when the call was sent. */
  readonly afterMilliseconds: number;
}

/** Before the intent, while the work is done, and between effect and answer. */
const trials: readonly Trial[] = (['SIGKILL', 'SIGSTOP'] as const).flatMap(fault =>
  [0, 300, 2_000].map(afterMilliseconds => ({ afterMilliseconds, fault })),
);

async function pause(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds));
}

describe('non-idempotent calls whose home is killed or frozen', () => {
  let fleet: Fleet;
  const client = new CallerClient(KEY);

  beforeAll(async () => {
    fleet = await Fleet.start({
      engines: 0,
      instances: 3,
      plainServices: 1,
      settings: { logLevel: 'silent' },
      zones: ['nelson', 'castlegar', 'trail'],
    });
    await fleet.applyRules(rules);
    await fleet.waitUntilReady();
    await controlStandIn(fleet.upstreams[0]!.standIn.address, 'behaviour', {
      delayAfterMilliseconds: EFFECT_MILLISECONDS,
      delayBeforeMilliseconds: EFFECT_MILLISECONDS,
    });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  async function executionsOf(call: string): Promise<number> {
    const { address } = fleet.upstreams[0]!.standIn;
    const { executions } = (await controlStandIn(address, 'executions')) as {
      readonly executions: readonly Execution[];
    };
    return executions.filter(execution => execution.call.endsWith(`/${call}`)).length;
  }

  async function open(entry: FleetInstance): Promise<string> {
    return await client.openWhenReady(entry.callerAddress, 'trace');
  }

  async function hit(victim: FleetInstance, fault: Trial['fault']): Promise<void> {
    if (fault === 'SIGKILL') {
      await victim.process.kill();
      fleet.restart(victim);
      return;
    }
    victim.process.signal('SIGSTOP');
    await pause(FREEZE_MILLISECONDS);
    victim.process.signal('SIGCONT');
  }

  /** Sends a call until its fate is told for good. */
  async function insist(
    entry: FleetInstance,
    program: string,
    call: string,
    answers: CallAnswer[],
  ): Promise<void> {
    await waitUntil(async () => {
      const answer = await client.call(entry.callerAddress, program, {
        call,
        input: 'work order',
        service: 'ticket-app',
        turn: 1,
      });
      answers.push(answer);
      return answer.closed !== undefined || answer.error?.['kind'] === 'call-outcome-unknown';
    }, 60_000);
  }

  it.each(trials)('$fault after $afterMilliseconds ms', async ({ afterMilliseconds, fault }) => {
    await fleet.waitUntilReady();
    const [entry] = fleet.instances;
    const call = `${fault}-${String(afterMilliseconds)}`;
    // Programs live on any of the instances: both that are not the entry are hit at once.
    const programs = [await open(entry!), await open(entry!), await open(entry!)];
    const answers = programs.map((): CallAnswer[] => []);
    const sent = programs.map(async (program, index) =>
      insist(entry!, program, `${call}-${String(index)}`, answers[index]!),
    );
    await pause(afterMilliseconds);
    const victims = fleet.instances.slice(1);
    await Promise.all(victims.map(async victim => hit(victim, fault)));
    await Promise.all(sent);
    for (const [index, told] of answers.entries()) {
      const executions = await executionsOf(`${call}-${String(index)}`);
      expect(executions).toBeLessThanOrEqual(1);
      if (told.some(answer => answer.closed !== undefined)) {
        expect(executions).toBe(1);
      }
    }
  });
});
