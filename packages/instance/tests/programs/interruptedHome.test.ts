import type { ProgramId } from '@zincring/core';

import { describe, it } from 'vitest';

import { Callers } from './callers.js';
import { ProgramCluster, terms } from './programCluster.js';

const PROGRAM = 'trace-1' as ProgramId;

/** Moments at which the home of a running call waits for something, and some beyond. */
const moments = Array.from({ length: 16 }, (_, moment) => moment);
const cases = moments.flatMap(moment =>
  (['kill', 'pause'] as const).flatMap(action =>
    [true, false].flatMap(isEffect =>
      [0, 700].map(answerMilliseconds => ({ action, answerMilliseconds, isEffect, moment })),
    ),
  ),
);

describe('the home of a call is interrupted for longer than its term', () => {
  it.each(cases)(
    '$action at moment $moment, effect: $isEffect, $answerMilliseconds ms',
    async each => {
      const cluster = new ProgramCluster(2);
      await cluster.advance(2_000);
      await cluster.open(PROGRAM);
      const callers = new Callers(cluster);
      const first = await cluster.homeOf(PROGRAM);
      const second = cluster.nodes.find(node => node !== first)!;
      for (let turn = 0; turn < 2; turn++) {
        callers.call(PROGRAM, first, { ahead: 1, isBranch: false, isEffect: false });
        await cluster.advance(200);
      }
      first.dispatcher.latencyMilliseconds = 100;
      first.answerDelayMilliseconds = each.answerMilliseconds;
      callers.call(PROGRAM, first, { ahead: 1, isBranch: false, isEffect: each.isEffect });
      first.interruption = { action: each.action, remainingInterruptionPoints: each.moment };
      await cluster.advance(3_000);
      second.eligible = new Set([second.name]);
      await cluster.advance(2 * terms.termMilliseconds);
      // The caller sends it again, and others, to the new holder and to the old one.
      callers.resend(2, () => second);
      await cluster.advance(300);
      callers.call(PROGRAM, second, { ahead: 1, isBranch: false, isEffect: true });
      await cluster.advance(300);
      first.resume();
      callers.resend(2, () => first);
      callers.call(PROGRAM, first, { ahead: 1, isBranch: false, isEffect: true });
      await cluster.advance(terms.termMilliseconds);
      cluster.heal();
      await cluster.advance(4 * terms.termMilliseconds);
      await callers.check();
    },
  );
});
