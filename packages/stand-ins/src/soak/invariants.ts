import { emptyHistoryDigest, extendHistoryDigest } from '@zincring/core';

import type { Fleet } from '../launch/fleet.js';
import type { DrivenCall, DrivenProgram } from './programDriver.js';

import { CallerClient } from '../launch/callerClient.js';
import { controlStandIn } from '../launch/fleet.js';
import { waitUntil } from '../launch/waitUntil.js';

/** Violation of an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

/** Options of {@link findViolations}. */
export interface InvariantOptions {
  readonly fleet: Fleet;
  readonly key: string;
  readonly programs: readonly DrivenProgram[];
}

interface RecordedExecution {
  readonly call: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, unknown>>;
}

interface RecordedGenerations {
  readonly requests: readonly { readonly segments: readonly string[] }[];
  readonly headers: readonly Readonly<Record<string, unknown>>[];
}

const PROGRAM_MARKER_PATTERN = /<driver-\d+-\d+>/g;

/** Checks the invariants after a soak test; returns all violations. */
export async function findViolations(options: InvariantOptions): Promise<readonly Violation[]> {
  return [
    ...(await findLostTurns(options)),
    ...(await findRepeatedEffects(options)),
    ...(await findMixedHistories(options)),
  ];
}

async function findLostTurns(options: InvariantOptions): Promise<readonly Violation[]> {
  const client = new CallerClient(options.key);
  const violations: Violation[] = [];
  for (const driven of options.programs) {
    const durable = driven.calls.filter(call => call.isDurable);
    const last = durable.at(-1);
    if (last === undefined) {
      continue;
    }
    const state = await describeProgram(options, client, driven.program);
    const turn = Number(state['turn'] ?? 0);
    if (turn < last.turn) {
      const detail = `${driven.program}: turn ${last.turn} was durable, the program has ${turn}`;
      violations.push({ detail, invariant: 'a durable turn is never lost' });
      continue;
    }
    if (turn === last.turn && state['digest'] !== expectedDigest(driven, last.turn)) {
      const detail = `${driven.program} after turn ${turn}`;
      violations.push({
        detail,
        invariant: 'the history matches the responses that its caller received',
      });
    }
  }
  return violations;
}

async function describeProgram(
  options: InvariantOptions,
  client: CallerClient,
  program: string,
): Promise<Readonly<Record<string, unknown>>> {
  let body: Readonly<Record<string, unknown>> = {};
  const address = options.fleet.instances[0]?.callerAddress ?? '';
  await waitUntil(async () => {
    const response = await client.describeProgram(address, program);
    body = response.body;
    return response.status === 200;
  }).catch(() => undefined);
  return body;
}

function expectedDigest(driven: DrivenProgram, turn: number): string {
  let digest = emptyHistoryDigest(driven.program);
  for (const call of driven.calls.filter(each => each.turn <= turn)) {
    digest = extendHistoryDigest(digest, `${call.input}\n${call.text ?? ''}`);
  }
  return digest;
}

async function findRepeatedEffects(options: InvariantOptions): Promise<readonly Violation[]> {
  const executions = new Map<string, number>();
  const violations: Violation[] = [];
  for (const upstream of options.fleet.upstreams.filter(each => each.service === 'ticket-app')) {
    const recorded = (await controlStandIn(upstream.standIn.address, 'executions')) as {
      readonly executions: readonly RecordedExecution[];
    };
    for (const execution of recorded.executions) {
      const call = execution.path.split('/').at(-1) ?? '';
      executions.set(call, (executions.get(call) ?? 0) + 1);
      violations.push(...findLeakedKey(options.key, execution.headers, upstream.id));
    }
  }
  const orders = options.programs.flatMap(driven => driven.calls).filter(isOrder);
  for (const order of orders) {
    const count = executions.get(order.call) ?? 0;
    if (count > 1) {
      const detail = `${order.call} ran ${count} times`;
      violations.push({ detail, invariant: 'a non-idempotent call runs at most once' });
    }
    if (count > 0 && order.ranReports.length > 0 && order.ranReports.every(ran => ran === 'no')) {
      violations.push({ detail: order.call, invariant: 'a refusal that says "not run" is true' });
    }
  }
  return violations;
}

function isOrder(call: DrivenCall): boolean {
  return call.service === 'ticket-app';
}

async function findMixedHistories(options: InvariantOptions): Promise<readonly Violation[]> {
  const violations: Violation[] = [];
  for (const upstream of options.fleet.upstreams.filter(each => each.service === 'minutes-llm')) {
    const recorded = (await controlStandIn(
      upstream.standIn.address,
      'seen',
    )) as RecordedGenerations;
    for (const { segments } of recorded.requests) {
      const markers = new Set(segments.join('').match(PROGRAM_MARKER_PATTERN) ?? []);
      if (markers.size > 1) {
        const detail = [...markers].join(' ');
        violations.push({ detail, invariant: 'histories of programs never mix' });
      }
    }
    for (const headers of recorded.headers) {
      violations.push(...findLeakedKey(options.key, headers, upstream.id));
    }
  }
  return violations;
}

function findLeakedKey(
  key: string,
  headers: Readonly<Record<string, unknown>>,
  upstream: string,
): readonly Violation[] {
  return JSON.stringify(headers).includes(key)
    ? [{ detail: upstream, invariant: 'no upstream sees a key' }]
    : [];
}
