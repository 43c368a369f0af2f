import { describe, expect, it } from 'vitest';

import { ZoneOutageDetector } from '../../src/lifecycle/zoneOutageDetector.js';

type Step = 'connection' | 'ready' | 'unready';

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly retryAfterSeconds: number;
}

const cases: readonly Case[] = [
  { name: 'no check and no connection', retryAfterSeconds: 0.1, steps: [] },
  { name: 'a connection while ready', retryAfterSeconds: 0.1, steps: ['ready', 'connection'] },
  {
    name: 'a connection before the second unready check',
    retryAfterSeconds: 0.1,
    steps: ['unready', 'connection', 'unready'],
  },
  {
    name: 'a connection after two unready checks',
    retryAfterSeconds: 1,
    steps: ['unready', 'unready', 'connection'],
  },
  {
    name: 'ready again after a zone outage',
    retryAfterSeconds: 0.1,
    steps: ['unready', 'unready', 'connection', 'ready'],
  },
  {
    name: 'one unready check after a zone outage has ended',
    retryAfterSeconds: 0.1,
    steps: ['unready', 'unready', 'connection', 'ready', 'unready', 'connection'],
  },
];

describe('ZoneOutageDetector', () => {
  it.each(cases)('$name', ({ retryAfterSeconds, steps }) => {
    const detector = new ZoneOutageDetector();
    for (const step of steps) {
      if (step === 'connection') {
        detector.recordConnection();
      } else {
        detector.recordReadinessCheck(step === 'ready');
      }
    }
    expect(detector.retryAfterSeconds(0.1)).toBe(retryAfterSeconds);
  });
});
