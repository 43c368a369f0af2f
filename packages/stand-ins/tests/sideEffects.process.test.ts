import { hashKey } from '@zincring/core';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import type { CallResponse } from '../src/launch/callerClient.js';
import type { FleetInstance } from '../src/launch/fleet.js';
import type { Execution } from '../src/service/plainServiceServer.js';

import { CallerClient } from '../src/launch/callerClient.js';
import { controlStandIn, Fleet } from '../src/launch/fleet.js';
import { waitUntil } from '../src/launch/waitUntil.js';

const KEY = 'effects-key';
const EFFECT_DELAY_MILLISECONDS = 1_500;
const FREEZE_MILLISECONDS = 9_000;

const rules = `
workspace utility rate=1000 burst=1000 # dana: the pilot
key clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks
service ticket-app protocol=plain idempotent=no timeout=20 # omar: work orders
program trace services=ticket-app tokens=1000 calls=50 # dana: traces
`;

interface FaultCase {
  readonly fault: 'SIGKILL' | 'SIGSTOP';
  /** Delay between sending the call and injecting the fault, in milliseconds. */
  readonly afterMilliseconds: number;
}

/**
 * Faults before the intent is written, before the side effect, and between side effect and
 * response.
 */
const faultCases: readonly FaultCase[] = (['SIGKILL', 'SIGSTOP'] as const).flatMap(fault =>
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
      delayAfterMilliseconds: EFFECT_DELAY_MILLISECONDS,
      delayBeforeMilliseconds: EFFECT_DELAY_MILLISECONDS,
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

  async function injectFault(victim: FleetInstance, fault: FaultCase['fault']): Promise<void> {
    if (fault === 'SIGKILL') {
      await victim.process.kill();
      fleet.restart(victim);
      return;
    }
    victim.process.signal('SIGSTOP');
    await pause(FREEZE_MILLISECONDS);
    victim.process.signal('SIGCONT');
  }

  /** Resends a call until its response is complete or reports its outcome as unknown. */
  async function sendUntilOutcomeKnown(
    entry: FleetInstance,
    program: string,
    call: string,
    responses: CallResponse[],
  ): Promise<void> {
    await waitUntil(async () => {
      const response = await client.call(entry.callerAddress, program, {
        call,
        input: 'work order',
        service: 'ticket-app',
        turn: 1,
      });
      responses.push(response);
      return response.closed !== undefined || response.error?.['kind'] === 'call-outcome-unknown';
    }, 60_000);
  }

  it.each(faultCases)(
    'run at most once with $fault $afterMilliseconds ms after they are sent',
    async ({ afterMilliseconds, fault }) => {
      await fleet.waitUntilReady();
      const [entry] = fleet.instances;
      const call = `${fault}-${String(afterMilliseconds)}`;
      // The home of a program may be any instance: the fault hits both that are not the entry.
      const programs = [await open(entry!), await open(entry!), await open(entry!)];
      const responses = programs.map((): CallResponse[] => []);
      const sent = programs.map(async (program, index) =>
        sendUntilOutcomeKnown(entry!, program, `${call}-${String(index)}`, responses[index]!),
      );
      await pause(afterMilliseconds);
      const victims = fleet.instances.slice(1);
      await Promise.all(victims.map(async victim => injectFault(victim, fault)));
      await Promise.all(sent);
      for (const [index, received] of responses.entries()) {
        const executions = await executionsOf(`${call}-${String(index)}`);
        expect(executions).toBeLessThanOrEqual(1);
        if (received.some(response => response.closed !== undefined)) {
          expect(executions).toBe(1);
        }
      }
    },
  );
});
