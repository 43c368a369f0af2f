import { setImmediate, setTimeout as pause } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';

import type { WaitingIntake } from '../../src/http/intakeTurns.js';

import { IntakeTurns } from '../../src/http/intakeTurns.js';
import { BytePacer } from '../../src/http/bytePacer.js';
import { SystemTimerService } from '../../src/time/systemTimerService.js';

/** A connection that always has more to parse, and records its turns. */
function makeIntake(name: string, turns: string[], bytes: number): WaitingIntake {
  return {
    canParse: true,
    takeTurn: () => {
      turns.push(name);
      return bytes;
    },
  };
}

describe(IntakeTurns, () => {
  // Guards against one connection that keeps others from being read.
  it('gives each connection a turn before any gets another', async () => {
    const timers = new SystemTimerService();
    const intakeTurns = new IntakeTurns(timers, new BytePacer(timers));
    const turns: string[] = [];
    const intakes = ['a', 'b', 'c'].map(name => makeIntake(name, turns, 1));
    intakes.forEach(intake => {
      intakeTurns.add(intake);
    });
    while (turns.length < 9) {
      await setImmediate();
    }
    intakes.forEach(intake => {
      intakeTurns.remove(intake);
    });
    expect(turns.slice(0, 9).join('')).toBe('abcabcabc');
  });

  // Guards against memory that grows since what is read is freed later than it comes.
  it('lets no more bytes pass than the pacer allows', async () => {
    let now = 0;
    const timers = new SystemTimerService();
    const intakeTurns = new IntakeTurns(timers, new BytePacer({ now: () => now }));
    const turns: string[] = [];
    const intake = makeIntake('a', turns, 1_048_576);
    intakeTurns.add(intake);
    await pause(50);
    const atFirst = turns.length;
    now += 32;
    await pause(100);
    intakeTurns.remove(intake);
    expect([atFirst, turns.length]).toEqual([2, 3]);
  });
});
