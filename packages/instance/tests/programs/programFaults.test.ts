import type { CallId, ProgramId } from '@zincring/core';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { CallClosed, CallFailed, CallRequest } from '../../src/programs/programMessages.js';
import type { ProgramNode } from './programCluster.js';

import { createCall, ENGINE, ProgramCluster, readEnd, terms, TICKETS } from './programCluster.js';

const SEED = 20_261_204;
const NODES = 3;
const TOKENS = 4_000;
const programs = ['trace-1', 'trace-2', 'trace-3'] as ProgramId[];

type NodeFault =
  | 'errors'
  | 'late-shard'
  | 'lost-objects'
  | 'lost-shard'
  | 'objects-out'
  | 'pause'
  | 'replace'
  | 'resume'
  | 'see-few'
  | 'slow'
  | 'table-out'
  | 'upstream-break'
  | 'upstream-refuse'
  | 'upstream-slow';

type Step =
  | { readonly kind: 'advance'; readonly milliseconds: number }
  | ({ readonly kind: 'call'; readonly program: number; readonly node: number } & CallChoice)
  | { readonly kind: 'fault'; readonly fault: NodeFault; readonly node: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'resend'; readonly pick: number; readonly node: number };

interface CallChoice {
  readonly isEffect: boolean;
  readonly isBranch: boolean;
  readonly ahead: number;
}

const node = fc.nat({ max: NODES - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(50, 100, 300, 1_000, 3_000, 7_000),
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      ahead: fc.constantFrom(1, 1, 1, 2, 0),
      isBranch: fc.boolean(),
      isEffect: fc.boolean(),
      kind: fc.constant('call' as const),
      node,
      program: fc.nat({ max: programs.length - 1 }),
    }),
    weight: 8,
  },
  {
    arbitrary: fc.record({ kind: fc.constant('resend' as const), node, pick: fc.nat() }),
    weight: 5,
  },
  {
    arbitrary: fc.record({
      fault: fc.constantFrom<NodeFault>(
        'errors',
        'late-shard',
        'lost-objects',
        'lost-shard',
        'objects-out',
        'pause',
        'replace',
        'resume',
        'see-few',
        'slow',
        'table-out',
        'upstream-break',
        'upstream-refuse',
        'upstream-slow',
      ),
      kind: fc.constant('fault' as const),
      node,
    }),
    weight: 5,
  },
  fc.record({ kind: fc.constant('heal' as const) }),
);

/** Callers that remember what they were told. */
class Callers {
  private readonly requests: CallRequest[] = [];
  private readonly lastTurns = new Map<string, number>();
  private readonly durable = new Map<string, { request: CallRequest; end: CallClosed }>();
  /** Attempts of each call that were not told that they did not run. */
  private readonly openAttempts = new Map<string, number>();

  public constructor(private readonly cluster: ProgramCluster) {}

  public call(program: ProgramId, target: ProgramNode, choice: CallChoice): void {
    const parentCall = choice.isBranch ? ('parent' as CallId) : undefined;
    const turn = (this.lastTurns.get(`${program}/${parentCall ?? ''}`) ?? 0) + choice.ahead;
    const service = choice.isEffect ? TICKETS : ENGINE;
    const name = `call-${String(this.requests.length)}`;
    const request = createCall(program, name, Math.max(1, turn), { parentCall, service });
    this.requests.push(request);
    this.send(request, target);
  }

  public resend(pick: number, target: ProgramNode): void {
    const request = this.requests[pick % Math.max(1, this.requests.length)];
    if (request !== undefined) {
      this.send(request, target);
    }
  }

  /** Checks that every promise made has been kept. */
  public async check(): Promise<void> {
    for (const { end, request } of this.durable.values()) {
      const home = await this.cluster.homeOf(request.program);
      const repeated = await this.cluster.until(readEnd(home.home.call(request)));
      expect(repeated).toMatchObject({ digest: end.digest, kind: 'closed', turn: end.turn });
    }
    const { executions, tokens } = this.cluster.counters;
    for (const request of this.requests.filter(each => each.service === TICKETS)) {
      const key = `${request.program}/${request.call}`;
      expect(executions.get(key) ?? 0).toBeLessThanOrEqual(1);
    }
    for (const [key, attempts] of this.openAttempts) {
      if (attempts === 0) {
        expect(`${key}: ${String(executions.get(key) ?? 0)}`).toBe(`${key}: 0`);
      }
    }
    for (const used of tokens.values()) {
      expect(used).toBeLessThanOrEqual(TOKENS);
    }
  }

  private send(request: CallRequest, target: ProgramNode): void {
    const key = `${request.program}/${request.call}`;
    this.countAttempt(key, 1);
    void target.gate(readEnd(target.home.call(request))).then(end => {
      if (end.kind === 'closed') {
        this.noteClosed(key, request, end);
      } else {
        this.noteFailed(key, request, end);
      }
    });
  }

  private noteClosed(key: string, request: CallRequest, end: CallClosed): void {
    const branch = `${request.program}/${request.parentCall ?? ''}`;
    this.lastTurns.set(branch, Math.max(end.turn, this.lastTurns.get(branch) ?? 0));
    if (end.isDurable) {
      this.durable.set(key, { end, request });
    }
  }

  private noteFailed(key: string, request: CallRequest, end: CallFailed): void {
    const { ran, resume } = end.error;
    if (resume !== undefined) {
      this.lastTurns.set(`${request.program}/${request.parentCall ?? ''}`, resume.turn);
    }
    if (ran === 'no') {
      this.countAttempt(key, -1);
    }
  }

  private countAttempt(key: string, change: number): void {
    this.openAttempts.set(key, (this.openAttempts.get(key) ?? 0) + change);
  }
}

function applyFault(cluster: ProgramCluster, index: number, fault: NodeFault): void {
  const target = cluster.nodes[index]!;
  switch (fault) {
    case 'errors':
      target.tableFaults.set({ errors: 2 });
      target.objectFaults.set({ errors: 2 });
      return;
    case 'late-shard':
      target.nextFate = { count: 1, fate: 'late', prefix: 'shard/' };
      return;
    case 'lost-objects':
      target.objectFaults.set({ lostAnswers: 3 });
      return;
    case 'lost-shard':
      target.nextFate = { count: 5, fate: 'lost', prefix: 'shard/' };
      return;
    case 'objects-out':
      target.objectFaults.set({ outage: 'refuse' });
      return;
    case 'table-out':
      target.tableFaults.set({ outage: 'refuse' });
      return;
    case 'pause':
      target.pause();
      return;
    case 'resume':
      target.resume();
      return;
    case 'replace':
      cluster.replace(index);
      return;
    case 'see-few':
      target.eligible = new Set([target.name]);
      return;
    case 'slow':
      target.answerMilliseconds = 700;
      return;
    case 'upstream-break':
      target.dispatcher.reaction = 'break';
      return;
    case 'upstream-refuse':
      target.dispatcher.reaction = 'refuse';
      return;
    case 'upstream-slow':
      target.dispatcher.latencyMilliseconds = 2_000;
      return;
  }
}

async function perform(cluster: ProgramCluster, callers: Callers, next: Step): Promise<void> {
  switch (next.kind) {
    case 'advance':
      await cluster.advance(next.milliseconds);
      return;
    case 'call':
      callers.call(programs[next.program]!, cluster.nodes[next.node]!, next);
      return;
    case 'fault':
      applyFault(cluster, next.node, next.fault);
      return;
    case 'heal':
      cluster.heal();
      return;
    case 'resend':
      callers.resend(next.pick, cluster.nodes[next.node]!);
      return;
  }
}

describe('programs under faults', () => {
  it('lose no durable turn, mix nothing, run effects once and keep their budgets', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60, minLength: 20 }), async steps => {
        const cluster = new ProgramCluster(NODES);
        const callers = new Callers(cluster);
        await cluster.advance(2_000);
        for (const program of programs) {
          await cluster.open(program);
        }
        for (const next of steps) {
          await perform(cluster, callers, next);
        }
        cluster.heal();
        await cluster.advance(6 * terms.termMilliseconds);
        await callers.check();
      }),
      { numRuns: 40, seed: SEED },
    );
  });
});
