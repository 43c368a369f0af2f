import type { Histogram } from 'hdr-histogram-js';

import { hashKey } from '@zincring/core';
import { build } from 'hdr-histogram-js';

import type { FleetInstance } from '../launch/fleet.js';

import { CallerClient } from '../launch/callerClient.js';
import { Fleet } from '../launch/fleet.js';
import { readProcessorSeconds } from './processorTime.js';

const KEY = 'latency-key';
const ROUNDS = 5;
const CALLS_PER_ROUND = 100;
const PARALLEL_PROGRAMS = 16;
const CALLS_PER_PROGRAM = 25;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const rules = `
workspace utility rate=1000000 burst=1000000 # latency: load
key clerk workspace=utility hash=${hashKey(KEY)} # latency: load
service minutes-llm protocol=engine timeout=30 concurrency=64 # latency: model
service ticket-app protocol=plain idempotent=yes timeout=10 concurrency=64 # latency: tickets
program trace services=minutes-llm,ticket-app tokens=100000000 calls=100000 # latency: programs
`;

/** One way of a call, with the latencies measured on it. */
interface Way {
  readonly name: string;
  readonly histogram: Histogram;
  readonly send: () => Promise<void>;
}

const client = new CallerClient(KEY);

async function openProgram(instance: FleetInstance): Promise<string> {
  return await client.openWhenReady(instance.callerAddress, 'trace');
}

async function findHome(fleet: Fleet, program: string): Promise<string> {
  const shown = await fleet.control('programs', 'show', program, '--json');
  const { holder } = JSON.parse(shown.output) as { readonly holder: string };
  return holder;
}

/** Calls of one program, one turn after the other. */
class TurnSender {
  private turn = 0;

  public constructor(
    private readonly address: string,
    private readonly program: string,
  ) {}

  public async send(): Promise<void> {
    this.turn++;
    const answer = await client.call(this.address, this.program, {
      call: `call-${this.turn}`,
      input: 'q',
      path: '/tickets',
      service: 'ticket-app',
      turn: this.turn,
    });
    if (answer.closed === undefined) {
      throw new Error(`turn ${this.turn}: ${JSON.stringify(answer.error)}`);
    }
  }
}

async function fetchTicket(url: string): Promise<void> {
  const response = await fetch(url, {
    body: 'q',
    headers: { authorization: `Bearer ${KEY}` },
    method: 'POST',
  });
  await response.text();
  if (!response.ok) {
    throw new Error(`status ${response.status}`);
  }
}

async function createWays(fleet: Fleet): Promise<readonly Way[]> {
  const [first] = fleet.instances;
  const service = fleet.upstreams.find(upstream => upstream.service === 'ticket-app');
  if (first === undefined || service === undefined) {
    throw new Error('the fleet is not whole');
  }
  const way = (name: string, send: () => Promise<void>): Way => ({
    histogram: build({ numberOfSignificantValueDigits: 3 }),
    name,
    send,
  });
  const ways = [
    way('direct to the stand-in', async () => fetchTicket(`http://${service.standIn.address}/t`)),
    way('plain request, one instance', async () =>
      fetchTicket(`http://${first.callerAddress}/v1/services/ticket-app/t`),
    ),
  ];
  const program = await openProgram(first);
  const home = await findHome(fleet, program);
  const atHome = fleet.instances.find(instance => home.startsWith(instance.id)) ?? first;
  const other = fleet.instances.find(instance => instance !== atHome) ?? first;
  const single = new TurnSender(atHome.callerAddress, program);
  ways.push(way('turn of a program, one instance', async () => single.send()));
  const distant = new TurnSender(other.callerAddress, await openProgramAt(fleet, atHome));
  ways.push(way('turn of a program, two instances', async () => distant.send()));
  return ways;
}

/** Opens programs until one has its home at the instance. */
async function openProgramAt(fleet: Fleet, instance: FleetInstance): Promise<string> {
  for (;;) {
    const program = await openProgram(instance);
    if ((await findHome(fleet, program)).startsWith(instance.id)) {
      return program;
    }
  }
}

async function measureLatency(ways: readonly Way[]): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    for (const { histogram, send } of ways) {
      for (let call = 0; call < CALLS_PER_ROUND; call++) {
        const startedAt = performance.now();
        await send();
        const elapsed = performance.now() - startedAt;
        histogram.recordValue(Math.round(elapsed * MICROSECONDS_PER_MILLISECOND));
      }
    }
  }
}

/** Requests of callers that one core of the instances serves in a second, all instances together. */
async function measureRequestsPerCore(
  fleet: Fleet,
  sendAll: () => Promise<number>,
): Promise<number> {
  const before = await processorSeconds(fleet);
  const requests = await sendAll();
  return requests / ((await processorSeconds(fleet)) - before);
}

async function processorSeconds(fleet: Fleet): Promise<number> {
  const seconds = await Promise.all(
    fleet.instances.map(async instance => readProcessorSeconds(instance.process.processId)),
  );
  return seconds.reduce((sum, each) => sum + each, 0);
}

async function sendPlainRequests(fleet: Fleet): Promise<number> {
  const address = fleet.instances[0]?.callerAddress ?? '';
  const senders = Array.from({ length: PARALLEL_PROGRAMS }, async () => {
    for (let call = 0; call < CALLS_PER_PROGRAM; call++) {
      await fetchTicket(`http://${address}/v1/services/ticket-app/t`);
    }
  });
  await Promise.all(senders);
  return PARALLEL_PROGRAMS * CALLS_PER_PROGRAM;
}

async function sendTurns(fleet: Fleet): Promise<number> {
  const senders = Array.from({ length: PARALLEL_PROGRAMS }, async (_, index) => {
    const instance = fleet.instances[index % fleet.instances.length];
    if (instance === undefined) {
      return;
    }
    const sender = new TurnSender(instance.callerAddress, await openProgram(instance));
    for (let call = 0; call < CALLS_PER_PROGRAM; call++) {
      await sender.send();
    }
  });
  await Promise.all(senders);
  return PARALLEL_PROGRAMS * CALLS_PER_PROGRAM;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const fleet = await Fleet.start({
  engines: 1,
  instances: 2,
  plainServices: 1,
  settings: { logLevel: 'silent' },
  zones: ['nelson', 'castlegar'],
});
try {
  await fleet.applyRules(rules);
  await fleet.waitUntilReady();
  const ways = await createWays(fleet);
  await Promise.all(ways.map(async ({ send }) => send()));
  await measureLatency(ways);
  const direct = ways[0]?.histogram.getValueAtPercentile(50) ?? 1;
  for (const { histogram, name } of ways) {
    const [median, late] = [50, 95].map(each => histogram.getValueAtPercentile(each));
    const ratio = ((median ?? 0) / direct).toFixed(1);
    const milliseconds = [median, late].map(each =>
      ((each ?? 0) / MICROSECONDS_PER_MILLISECOND).toFixed(2),
    );
    print(`${name}: p50 ${milliseconds.join(' ms, p95 ')} ms, ${ratio} times the direct p50`);
  }
  await sendTurns(fleet);
  for (let round = 1; round <= ROUNDS; round++) {
    const plain = await measureRequestsPerCore(fleet, async () => sendPlainRequests(fleet));
    const turns = await measureRequestsPerCore(fleet, async () => sendTurns(fleet));
    print(
      `round ${round}: ${plain.toFixed(0)} plain requests, ${turns.toFixed(0)} turns a core second`,
    );
  }
} finally {
  await fleet.stop();
}
