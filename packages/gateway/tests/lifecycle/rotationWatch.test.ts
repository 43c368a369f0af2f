import { describe, expect, it } from 'vitest';

import { RotationWatch } from '../../src/lifecycle/rotationWatch.js';

type Step = 'connection' | 'ready' | 'unready';

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly seconds: number;
}

const cases: readonly Case[] = [
  { name: 'nothing was seen', seconds: 0.1, steps: [] },
  { name: 'callers come while it is ready', seconds: 0.1, steps: ['ready', 'connection'] },
  {
    name: 'callers come before the balancer has turned away',
    seconds: 0.1,
    steps: ['unready', 'connection', 'unready'],
  },
  {
    name: 'callers come although the balancer was told twice',
    seconds: 1,
    steps: ['unready', 'unready', 'connection'],
  },
  {
    name: 'it is ready again',
    seconds: 0.1,
    steps: ['unready', 'unready', 'connection', 'ready'],
  },
  {
    name: 'checks start anew after it was ready',
    seconds: 0.1,
    steps: ['unready', 'unready', 'connection', 'ready', 'unready', 'connection'],
  },
];

describe('when callers may come back to a fleet in an outage', () => {
  it.each(cases)('$name', ({ seconds, steps }) => {
    const rotation = new RotationWatch();
    for (const step of steps) {
      if (step === 'connection') {
        rotation.noteConnection();
      } else {
        rotation.noteCheck(step === 'ready');
      }
    }
    expect(rotation.retryAfterSeconds(0.1)).toBe(seconds);
  });
});
