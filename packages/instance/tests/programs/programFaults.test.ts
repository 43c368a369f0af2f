import type { ProgramId } from '@zincring/core';

import fc from 'fast-check';
import { describe, it } from 'vitest';

import type { CallOptions } from './simulatedCallers.js';
import type { ProgramNode } from './programCluster.js';

import { SimulatedCallers } from './simulatedCallers.js';
import { ProgramCluster, leaseTerms } from './programCluster.js';

const SEED = 20_261_204;
const NODE_COUNT = 3;
const programs = ['trace-1', 'trace-2', 'trace-3'] as ProgramId[];

/**
 * Fault of one node. Faults of the table or the object store apply only to that node's access;
 * `see-few` means that the node sees itself as the only eligible instance.
 */
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
  | ({
      readonly kind: 'call';
      readonly programIndex: number;
      readonly nodeRank: number;
    } & CallOptions)
  | {
      readonly kind: 'fault';
      readonly fault: NodeFault;
      readonly nodeRank: number;
      readonly programIndex: number;
    }
  | { readonly kind: 'heal' }
  | { readonly kind: 'resend'; readonly requestIndex: number; readonly nodeRank: number };

/** Rank of a step's node in the order of `findTarget`; most steps go to the first one. */
const nodeRank = fc.constantFrom(0, 0, 0, 1, 1, 2);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(50, 100, 300, 1_000, 3_000, 7_000),
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      turnOffset: fc.constantFrom(1, 1, 1, 2, 0),
      isSubAgentCall: fc.boolean(),
      hasSideEffect: fc.boolean(),
      kind: fc.constant('call' as const),
      nodeRank,
      programIndex: fc.nat({ max: programs.length - 1 }),
    }),
    weight: 8,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('resend' as const),
      nodeRank,
      requestIndex: fc.nat(),
    }),
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
      nodeRank,
      programIndex: fc.nat({ max: programs.length - 1 }),
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
      target.responseDelayMilliseconds = 700;
      return;
    case 'upstream-break':
      target.dispatcher.behaviour = 'break';
      return;
    case 'upstream-refuse':
      target.dispatcher.behaviour = 'refuse';
      return;
    case 'upstream-slow':
      target.dispatcher.latencyMilliseconds = 2_000;
      return;
  }
}

/**
 * Finds the node of a step by its rank: nodes that have a lease on the program's shard, by their
 * own view, come first.
 */
function findTarget(cluster: ProgramCluster, program: ProgramId, rank: number): ProgramNode {
  const nodesWithLease = cluster.nodes.filter(node => node.getLeaseStatus(program) !== 'none');
  const ranked = [
    ...nodesWithLease,
    ...cluster.nodes.filter(node => !nodesWithLease.includes(node)),
  ];
  return ranked[rank]!;
}

async function performStep(
  cluster: ProgramCluster,
  callers: SimulatedCallers,
  step: Step,
): Promise<void> {
  switch (step.kind) {
    case 'advance':
      await cluster.advance(step.milliseconds);
      return;
    case 'call':
      callers.call(
        programs[step.programIndex]!,
        findTarget(cluster, programs[step.programIndex]!, step.nodeRank),
        step,
      );
      return;
    case 'fault':
      applyFault(
        cluster,
        findTarget(cluster, programs[step.programIndex]!, step.nodeRank),
        step.fault,
      );
      return;
    case 'heal':
      cluster.heal();
      return;
    case 'resend':
      callers.resend(step.requestIndex, program => findTarget(cluster, program, step.nodeRank));
      return;
  }
}

describe('programs under faults', () => {
  it('keep durable turns unchanged, run side effects at most once and stay within budget', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 60, minLength: 20 }), async steps => {
        const cluster = new ProgramCluster(NODE_COUNT);
        const callers = new SimulatedCallers(cluster);
        await cluster.advance(2_000);
        for (const program of programs) {
          await cluster.open(program);
        }
        for (const step of steps) {
          await performStep(cluster, callers, step);
        }
        cluster.heal();
        await cluster.advance(6 * leaseTerms.termMilliseconds);
        await callers.checkGuarantees();
      }),
      { numRuns: 40, seed: SEED },
    );
  });
});
