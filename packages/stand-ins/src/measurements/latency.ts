import type { Histogram } from 'hdr-histogram-js';

import { hashKey } from '@zincring/core';
import { build } from 'hdr-histogram-js';

import type { FleetInstance } from '../launch/fleet.js';

import { CallerClient } from '../launch/callerClient.js';
import { Fleet } from '../launch/fleet.js';
import { readProcessorSeconds } from './processorTime.js';

const API_KEY = 'latency-key';
const ROUNDS = 5;
const CALLS_PER_ROUND = 100;
const PARALLEL_SENDERS = 16;
const CALLS_PER_SENDER = 25;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const rules = `
workspace utility rate=1000000 burst=1000000 # latency: load
key clerk workspace=utility hash=${hashKey(API_KEY)} # latency: load
service minutes-llm protocol=engine timeout=30 concurrency=64 # latency: model
service ticket-app protocol=plain idempotent=yes timeout=10 concurrency=64 # latency: tickets
program trace services=minutes-llm,ticket-app tokens=100000000 calls=100000 # latency: programs
`;

/** One path that a call can take, with the latencies measured on it. */
interface MeasuredPath {
  readonly name: string;
  readonly histogram: Histogram;
  readonly send: () => Promise<void>;
}

const client = new CallerClient(API_KEY);

async function openProgram(instance: FleetInstance): Promise<string> {
  return await client.openWhenReady(instance.callerAddress, 'trace');
}

async function findHome(fleet: Fleet, program: string): Promise<string> {
  const shownProgram = await fleet.runZincringctl('programs', 'show', program, '--json');
  const { holder } = JSON.parse(shownProgram.output) as { readonly holder: string };
  return holder;
}

/** Sends calls of one program, one turn after the other. */
class TurnSender {
  private turn = 0;

  public constructor(
    private readonly address: string,
    private readonly program: string,
  ) {}

  public async send(): Promise<void> {
    this.turn++;
    const response = await client.call(this.address, this.program, {
      call: `call-${this.turn}`,
      input: 'q',
      path: '/tickets',
      service: 'ticket-app',
      turn: this.turn,
    });
    if (response.closed === undefined) {
      throw new Error(`turn ${this.turn}: ${JSON.stringify(response.error)}`);
    }
  }
}

async function fetchTicket(url: string): Promise<void> {
  const response = await fetch(url, {
    body: 'q',
    headers: { authorization: `Bearer ${API_KEY}` },
    method: 'POST',
  });
  await response.text();
  if (!response.ok) {
    throw new Error(`ticket request failed with status ${response.status}`);
  }
}

async function createMeasuredPaths(fleet: Fleet): Promise<readonly MeasuredPath[]> {
  const [first] = fleet.instances;
  const ticketService = fleet.upstreams.find(upstream => upstream.service === 'ticket-app');
  if (first === undefined || ticketService === undefined) {
    throw new Error('the fleet has no instance or no ticket-app service');
  }
  const createPath = (name: string, send: () => Promise<void>): MeasuredPath => ({
    histogram: build({ numberOfSignificantValueDigits: 3 }),
    name,
    send,
  });
  const paths = [
    createPath('direct to the stand-in', async () =>
      fetchTicket(`http://${ticketService.standIn.address}/t`),
    ),
    createPath('plain request, one instance', async () =>
      fetchTicket(`http://${first.callerAddress}/v1/services/ticket-app/t`),
    ),
  ];
  const program = await openProgram(first);
  const home = await findHome(fleet, program);
  const homeInstance = fleet.instances.find(instance => home.startsWith(instance.id)) ?? first;
  const otherInstance = fleet.instances.find(instance => instance !== homeInstance) ?? first;
  const localSender = new TurnSender(homeInstance.callerAddress, program);
  paths.push(createPath('turn of a program, one instance', async () => localSender.send()));
  const forwardedSender = new TurnSender(
    otherInstance.callerAddress,
    await openProgramAt(fleet, homeInstance),
  );
  paths.push(createPath('turn of a program, two instances', async () => forwardedSender.send()));
  return paths;
}

/** Opens programs until one has the instance as its home. */
async function openProgramAt(fleet: Fleet, instance: FleetInstance): Promise<string> {
  for (;;) {
    const program = await openProgram(instance);
    if ((await findHome(fleet, program)).startsWith(instance.id)) {
      return program;
    }
  }
}

async function measureLatency(paths: readonly MeasuredPath[]): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    for (const { histogram, send } of paths) {
      for (let call = 0; call < CALLS_PER_ROUND; call++) {
        const startedAt = performance.now();
        await send();
        const elapsed = performance.now() - startedAt;
        histogram.recordValue(Math.round(elapsed * MICROSECONDS_PER_MILLISECOND));
      }
    }
  }
}

/** Measures the caller requests served per second of processor time, summed over all instances. */
async function measureRequestsPerCoreSecond(
  fleet: Fleet,
  sendAll: () => Promise<number>,
): Promise<number> {
  const secondsBefore = await readFleetProcessorSeconds(fleet);
  const requests = await sendAll();
  return requests / ((await readFleetProcessorSeconds(fleet)) - secondsBefore);
}

async function readFleetProcessorSeconds(fleet: Fleet): Promise<number> {
  const seconds = await Promise.all(
    fleet.instances.map(async instance => readProcessorSeconds(instance.process.processId)),
  );
  return seconds.reduce((sum, processSeconds) => sum + processSeconds, 0);
}

async function sendPlainRequests(fleet: Fleet): Promise<number> {
  const address = fleet.instances[0]?.callerAddress ?? '';
  const senders = Array.from({ length: PARALLEL_SENDERS }, async () => {
    for (let call = 0; call < CALLS_PER_SENDER; call++) {
      await fetchTicket(`http://${address}/v1/services/ticket-app/t`);
    }
  });
  await Promise.all(senders);
  return PARALLEL_SENDERS * CALLS_PER_SENDER;
}

async function sendTurns(fleet: Fleet): Promise<number> {
  const senders = Array.from({ length: PARALLEL_SENDERS }, async (_, index) => {
    const instance = fleet.instances[index % fleet.instances.length];
    if (instance === undefined) {
      return;
    }
    const sender = new TurnSender(instance.callerAddress, await openProgram(instance));
    for (let call = 0; call < CALLS_PER_SENDER; call++) {
      await sender.send();
    }
  });
  await Promise.all(senders);
  return PARALLEL_SENDERS * CALLS_PER_SENDER;
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
  const paths = await createMeasuredPaths(fleet);
  await Promise.all(paths.map(async ({ send }) => send()));
  await measureLatency(paths);
  const directMedian = paths[0]?.histogram.getValueAtPercentile(50) ?? 1;
  for (const { histogram, name } of paths) {
    const [median, p95] = [50, 95].map(each => histogram.getValueAtPercentile(each));
    const ratio = ((median ?? 0) / directMedian).toFixed(1);
    const milliseconds = [median, p95].map(each =>
      ((each ?? 0) / MICROSECONDS_PER_MILLISECOND).toFixed(2),
    );
    print(`${name}: p50 ${milliseconds.join(' ms, p95 ')} ms, ${ratio} times the direct p50`);
  }
  await sendTurns(fleet);
  for (let round = 1; round <= ROUNDS; round++) {
    const plainPerCoreSecond = await measureRequestsPerCoreSecond(fleet, async () =>
      sendPlainRequests(fleet),
    );
    const turnsPerCoreSecond = await measureRequestsPerCoreSecond(fleet, async () =>
      sendTurns(fleet),
    );
    print(
      `round ${round}: ${plainPerCoreSecond.toFixed(0)} plain requests, ${turnsPerCoreSecond.toFixed(0)} turns a core second`,
    );
  }
} finally {
  await fleet.stop();
}
