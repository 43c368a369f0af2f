import { hashKey } from '@zincring/core';

import type { CallResponse } from '../launch/callerClient.js';

import { CallerClient } from '../launch/callerClient.js';
import { controlStandIn, Fleet } from '../launch/fleet.js';
import { waitUntil } from '../launch/waitUntil.js';

const KEY = 'demonstration-key';
const PROGRAM_COUNT = 4;
const RESPONSE_TOKENS = 8;

const rules = `
workspace utility rate=200 burst=400 # dana: the pilot of the utility
key utility-clerk workspace=utility hash=${hashKey(KEY)} # dana: clerks of the utility
service minutes-llm protocol=engine fencing=checked timeout=30 # omar: model replicas
service ticket-app protocol=plain idempotent=no timeout=10 # omar: work orders
program trace services=minutes-llm,ticket-app tokens=100000 calls=50 idle=600 # dana: complaint traces
`;

/** A call of the demonstration. */
interface DemonstrationCall {
  readonly call: string;
  readonly service: 'minutes-llm' | 'ticket-app';
  readonly turn: number;
  readonly input: unknown;
  readonly parentCall?: string;
  readonly path?: string;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs agent programs against a fleet, injects a failure, and prints the results. */
class Demonstration {
  private readonly client = new CallerClient(KEY);
  private nextInstance = 0;

  public constructor(private readonly fleet: Fleet) {}

  public async run(): Promise<void> {
    const programs = await this.traceComplaints();
    const [firstProgram] = programs;
    if (firstProgram !== undefined) {
      await this.killHomeOf(firstProgram);
      await this.sendOrderTwice(firstProgram);
    }
    await this.endPrograms(programs);
  }

  /**
   * Runs programs concurrently: each asks a question, lets a sub-agent ask one, and asks a second.
   */
  private async traceComplaints(): Promise<readonly string[]> {
    const programs = await Promise.all(
      Array.from({ length: PROGRAM_COUNT }, async (_, index) => {
        const startedAt = performance.now();
        const program = await this.open();
        await this.ask(program, { call: 'read', turn: 1 });
        await this.ask(program, { call: 'agent', parentCall: 'read', turn: 1 });
        await this.ask(program, { call: 'compare', turn: 2 });
        const milliseconds = (performance.now() - startedAt).toFixed(0);
        print(`program ${index + 1}: two turns and a sub-agent's turn in ${milliseconds} ms`);
        return program;
      }),
    );
    return programs;
  }

  private async killHomeOf(program: string): Promise<void> {
    const shownProgram = await this.fleet.runZincringctl('programs', 'show', program, '--json');
    const { holder } = JSON.parse(shownProgram.output) as { readonly holder: string };
    const home = this.fleet.instances.find(instance => holder.startsWith(instance.id));
    if (home === undefined) {
      throw new Error(`no instance of the fleet matches the home ${holder}`);
    }
    await home.process.kill();
    this.fleet.instances.splice(this.fleet.instances.indexOf(home), 1);
    const startedAt = performance.now();
    await this.ask(program, { call: 'go-on', turn: 3 });
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    print(`the home of program 1, ${home.id}, was killed; its next turn took ${seconds} s`);
  }

  private async sendOrderTwice(program: string): Promise<void> {
    const order: DemonstrationCall = {
      call: 'order',
      input: { street: 'Front Street', work: 'flush the main' },
      path: '/orders',
      service: 'ticket-app',
      turn: 4,
    };
    const responses = [await this.send(program, order), await this.send(program, order)];
    const service = this.fleet.upstreams.find(each => each.service === 'ticket-app');
    const recorded = (await controlStandIn(service?.standIn.address ?? '', 'executions')) as {
      readonly executions: readonly unknown[];
    };
    const areResponsesEqual = responses[0]?.text === responses[1]?.text;
    print(
      `a work order sent twice ran ${recorded.executions.length} time; the responses are ${areResponsesEqual ? 'the same' : 'different'}`,
    );
  }

  private async endPrograms(programs: readonly string[]): Promise<void> {
    for (const program of programs) {
      await this.client.endProgram(this.nextAddress(), program);
    }
    await waitUntil(async () => (await this.countHeldPrograms()) === 0);
    print(`${programs.length} programs ended; the engines hold nothing for them`);
  }

  private async countHeldPrograms(): Promise<number> {
    const engines = this.fleet.upstreams.filter(each => each.service === 'minutes-llm');
    const held = await Promise.all(
      engines.map(async ({ standIn }) => {
        const response = await fetch(`http://${standIn.address}/v1/held`);
        const body = (await response.json()) as { readonly programs: object };
        return Object.keys(body.programs).length;
      }),
    );
    return held.reduce((sum, each) => sum + each, 0);
  }

  private async open(): Promise<string> {
    return await this.client.openWhenReady(this.nextAddress(), 'trace');
  }

  private async ask(
    program: string,
    call: Pick<DemonstrationCall, 'call' | 'parentCall' | 'turn'>,
  ): Promise<void> {
    await this.send(program, { ...call, input: `question ${call.call}`, service: 'minutes-llm' });
  }

  private async send(program: string, call: DemonstrationCall): Promise<CallResponse> {
    const response = await this.client.call(this.nextAddress(), program, {
      ...call,
      ...(call.service === 'minutes-llm' ? { maxTokens: RESPONSE_TOKENS } : {}),
    });
    if (response.closed === undefined) {
      throw new Error(`${call.call}: ${JSON.stringify(response.error)}`);
    }
    return response;
  }

  /** Returns the callers' address of the next instance, in round-robin order. */
  private nextAddress(): string {
    const { instances } = this.fleet;
    return instances[this.nextInstance++ % instances.length]?.callerAddress ?? '';
  }
}

const fleet = await Fleet.start({
  engines: 2,
  instances: 3,
  plainServices: 1,
  settings: { logLevel: 'error' },
  zones: ['nelson', 'castlegar', 'trail'],
});
try {
  await fleet.applyRules(rules);
  await fleet.waitUntilReady();
  print('3 instances, 2 engines, 1 plain service and the platform run as processes on loopback');
  await new Demonstration(fleet).run();
} finally {
  await fleet.stop();
}
