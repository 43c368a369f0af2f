import type { ProgramId } from '@zincring/core';

import { describe, it } from 'vitest';

import { SimulatedCallers } from './simulatedCallers.js';
import { ProgramCluster, leaseTerms } from './programCluster.js';

const PROGRAM = 'trace-1' as ProgramId;

/**
 * Numbers of interruption points that the home of a running call passes before the home is interrupted.
 * The highest ones lie after the end of the call.
 */
const interruptionPoints = Array.from({ length: 16 }, (_, interruptionPoint) => interruptionPoint);
const cases = interruptionPoints.flatMap(interruptionPoint =>
  (['kill', 'pause'] as const).flatMap(action =>
    [true, false].flatMap(hasSideEffect =>
      [0, 700].map(responseDelayMilliseconds => ({
        action,
        responseDelayMilliseconds,
        hasSideEffect,
        interruptionPoint,
      })),
    ),
  ),
);

describe('when the home of a call is interrupted for longer than its lease term', () => {
  it.each(cases)(
    '$action at interruption point $interruptionPoint, side effect: $hasSideEffect, response delay: $responseDelayMilliseconds ms',
    async testCase => {
      const cluster = new ProgramCluster(2);
      await cluster.advance(2_000);
      await cluster.open(PROGRAM);
      const callers = new SimulatedCallers(cluster);
      const firstHome = await cluster.findHomeNode(PROGRAM);
      const secondHome = cluster.nodes.find(node => node !== firstHome)!;
      for (let turn = 0; turn < 2; turn++) {
        callers.call(PROGRAM, firstHome, {
          turnOffset: 1,
          isSubAgentCall: false,
          hasSideEffect: false,
        });
        await cluster.advance(200);
      }
      firstHome.dispatcher.latencyMilliseconds = 100;
      firstHome.responseDelayMilliseconds = testCase.responseDelayMilliseconds;
      callers.call(PROGRAM, firstHome, {
        turnOffset: 1,
        isSubAgentCall: false,
        hasSideEffect: testCase.hasSideEffect,
      });
      firstHome.interruption = {
        action: testCase.action,
        remainingInterruptionPoints: testCase.interruptionPoint,
      };
      await cluster.advance(3_000);
      secondHome.eligible = new Set([secondHome.name]);
      await cluster.advance(2 * leaseTerms.termMilliseconds);
      // The caller sends the call again, and further calls, to the new holder and to the old one.
      callers.resend(2, () => secondHome);
      await cluster.advance(300);
      callers.call(PROGRAM, secondHome, {
        turnOffset: 1,
        isSubAgentCall: false,
        hasSideEffect: true,
      });
      await cluster.advance(300);
      firstHome.resume();
      callers.resend(2, () => firstHome);
      callers.call(PROGRAM, firstHome, {
        turnOffset: 1,
        isSubAgentCall: false,
        hasSideEffect: true,
      });
      await cluster.advance(leaseTerms.termMilliseconds);
      cluster.heal();
      await cluster.advance(4 * leaseTerms.termMilliseconds);
      await callers.checkGuarantees();
    },
  );
});
