import type { ProgramId } from '@zincring/core';

import fc from 'fast-check';
import { describe, it } from 'vitest';

import type { CallChoice } from './callers.js';
import type { ProgramNode } from './programCluster.js';

import { Callers } from './callers.js';
import { ProgramCluster, terms } from './programCluster.js';

const SEED = 20_261_204;
const NODES = 3;
const programs = ['trace-1', 'trace-2', 'trace-3'] as ProgramId[];

type NodeFault =
  | 'errors'
  | 'late-shard'
  | 'lost-objects'
  | 'lost-shard'
  | 'objects-out'
  | 'interrupt-kill'
  | 'interrupt-pause'
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
  | {
      readonly kind: 'fault';
      readonly fault: NodeFault;
      readonly node: number;
      readonly program: number;
    }
  | { readonly kind: 'heal' }
  | { readonly kind: 'resend'; readonly pick: number; readonly node: number };

const node = fc.constantFrom(0, 0, 0, 1, 1, 2);
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
        'interrupt-kill',
        'interrupt-pause',
        'interrupt-pause',
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
      program: fc.nat({ max: programs.length - 1 }),
    }),
    weight: 5,
  },
  fc.record({ kind: fc.constant('heal' as const) }),
);

function applyFault(cluster: ProgramCluster, target: ProgramNode, fault: NodeFault): void {
  switch (fault) {
    case 'errors':
      target.tableFaults.set({ errors: 2 });
      target.objectFaults.set({ errors: 2 });
      return;
    case 'late-shard':
      target.nextWriteOutcome = { count: 1, outcome: 'late', prefix: 'shard/' };
      return;
    case 'lost-objects':
      target.objectFaults.set({ lostAnswers: 3 });
      return;
    case 'lost-shard':
      target.nextWriteOutcome = { count: 5, outcome: 'lost', prefix: 'shard/' };
      return;
    case 'objects-out':
      target.objectFaults.set({ outage: 'refuse' });
      return;
    case 'table-out':
      target.tableFaults.set({ outage: 'refuse' });
      return;
    case 'interrupt-kill':
      target.interruption = { action: 'kill', remainingInterruptionPoints: 3 };
      return;
    case 'interrupt-pause':
      target.interruption = { action: 'pause', remainingInterruptionPoints: 3 };
      return;
    case 'pause':
      target.pause();
      return;
    case 'resume':
      target.resume();
      return;
    case 'replace':
      cluster.replace(cluster.nodes.indexOf(target));
      return;
    case 'see-few':
      target.eligible = new Set([target.name]);
      return;
    case 'slow':
      target.answerDelayMilliseconds = 700;
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

/**
 * The instance that a step means: mostly the home of a program, then another that believes to be
 * it, then any.
 */
function findTarget(cluster: ProgramCluster, program: ProgramId, choice: number): ProgramNode {
  const believers = cluster.nodes.filter(each => each.standingOf(program) !== 'none');
  const ranked = [...believers, ...cluster.nodes.filter(each => !believers.includes(each))];
  return ranked[choice]!;
}

async function perform(cluster: ProgramCluster, callers: Callers, next: Step): Promise<void> {
  switch (next.kind) {
    case 'advance':
      await cluster.advance(next.milliseconds);
      return;
    case 'call':
      callers.call(
        programs[next.program]!,
        findTarget(cluster, programs[next.program]!, next.node),
        next,
      );
      return;
    case 'fault':
      applyFault(cluster, findTarget(cluster, programs[next.program]!, next.node), next.fault);
      return;
    case 'heal':
      cluster.heal();
      return;
    case 'resend':
      callers.resend(next.pick, program => findTarget(cluster, program, next.node));
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
