import { ManualTimerService } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { ProgramShape } from '../support/programLoad.js';

import { MemoryTable } from '../support/memoryTable.js';
import { runPrograms } from '../support/programLoad.js';

/** Exchanges between instances, and calls to the store with their tables, by name. */
type Exchanges = Readonly<Record<string, number>>;

/** Time in which all programs begin, and time after which all have ended and released their budgets, in seconds. */
const SECONDS = { begin: 4, end: 16 };
const TURNS = 5;
const TOOLS = 4;
const firstTurn: ProgramShape = {
  budgetTurns: 8,
  storesTurns: false,
  toolsPerTurn: 0,
  turns: 1,
};

/** Runs programs to their end and returns the exchanges for each of them. */
async function countExchanges(instances: number, shape: ProgramShape): Promise<Exchanges> {
  const timers = new ManualTimerService();
  const counts = new Map<string, number>();
  const seconds = await runPrograms(timers, new MemoryTable(timers), {
    instances,
    onExchange: name => counts.set(name, (counts.get(name) ?? 0) + 1),
    programsPerSecond: second => (second < SECONDS.begin ? 25 : 0),
    seconds: SECONDS.end,
    shape,
  });
  expect(seconds.reduce((total, { refused }) => total + refused, 0)).toBe(0);
  const requests = seconds.reduce((total, each) => total + each.requests, 0);
  const programs = requests / (shape.turns * (1 + shape.toolsPerTurn));
  return Object.fromEntries([...counts].map(([name, count]) => [name, count / programs]));
}

/** Exchanges for each of the requests that a program has more than another one, to two places. */
function divideDifference(more: Exchanges, less: Exchanges, requests: number): Exchanges {
  const names = [...new Set([...Object.keys(more), ...Object.keys(less)])].sort();
  return Object.fromEntries(
    names.map(name => {
      const difference = (more[name] ?? 0) - (less[name] ?? 0);
      return [name, Math.round((100 * difference) / requests) / 100];
    }),
  );
}

/** Most exchanges of each kind of request: one with the owner of each thing that it needs, and what the store must keep of it. */
const MAXIMUM_EXCHANGES: Readonly<Record<string, Exchanges>> = {
  'first turn': {
    'acquire credit': 1.02,
    'budgets transact': 1,
    'rates read': 0.6,
    'rates transact': 0.6,
    'reserve tokens': 1.02,
    'settle tokens': 1.02,
  },
  'kept turn, further to others': { 'turns read': 1, 'turns transact': 1 },
  'later turn': {
    'acquire credit': 1.02,
    'rates read': 0.2,
    'rates transact': 0.2,
    'reserve tokens': 1.02,
    'settle tokens': 1.02,
  },
  // A reservation and a settlement, but for the first one of a program, which an ample budget needs too.
  'turn with a tight budget, further to others': { 'budgets transact': 2 - 1 / TURNS },
  'tool call': { 'acquire credit': 1.02, 'rates read': 0.2, 'rates transact': 0.2 },
};

describe('exchanges for each request', () => {
  it.each([13, 75])(
    'stay within what each needs, with %i instances',
    async instances => {
      const later = { ...firstTurn, turns: TURNS };
      const first = await countExchanges(instances, firstTurn);
      const withTools = await countExchanges(instances, { ...firstTurn, toolsPerTurn: TOOLS });
      const ample = await countExchanges(instances, later);
      const tight = await countExchanges(instances, { ...later, budgetTurns: 2.8 });
      const kept = await countExchanges(instances, { ...later, storesTurns: true });
      const counted: Readonly<Record<string, Exchanges>> = {
        'first turn': divideDifference(first, {}, 1),
        'kept turn, further to others': divideDifference(kept, ample, TURNS),
        'later turn': divideDifference(ample, first, TURNS - 1),
        'turn with a tight budget, further to others': divideDifference(tight, ample, TURNS),
        'tool call': divideDifference(withTools, first, TOOLS),
      };
      for (const [request, exchanges] of Object.entries(counted)) {
        for (const [name, count] of Object.entries(exchanges)) {
          const maximum = MAXIMUM_EXCHANGES[request]?.[name] ?? 0;
          expect(count, `${request}: ${name}`).toBeLessThanOrEqual(maximum);
        }
      }
    },
    60_000,
  );
});
