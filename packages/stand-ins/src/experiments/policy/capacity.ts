import type { PrefixDigest, WorkId } from '@zincring/scheduling';
import type { WorkspaceName } from '@zincring/core';

import { engineSpeed } from './deployments.js';
import { EventQueue } from './fleet/eventQueue.js';
import { SimulatedEngine } from './fleet/simulatedEngine.js';
import { countCalls } from './workload/program.js';
import { drawTurns } from './workload/generateWorkload.js';
import { RandomSource } from '../../util/randomSource.js';

/** What one engine can do at most, and what a program asks for. */
export interface Capacity {
  /** Calls per second of one engine that is kept full and computes no token twice. */
  readonly callsPerSecond: number;
  /** Mean calls of a program. */
  readonly callsPerProgram: number;
}

const CAPACITY_SEED = 7;
const PROGRAMS = 4_000;
const COUNTED_CALLS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Measures an engine that always has work waiting and finds all history cached.
 *
 * @example
 * const { callsPerSecond } = measureCapacity();
 */
export function measureCapacity(): Capacity {
  const random = new RandomSource(CAPACITY_SEED);
  const programs = Array.from({ length: PROGRAMS }, () => drawTurns(random));
  const calls = programs.flatMap(turns =>
    turns.flatMap(turn => [turn, ...turn.subAgents.flatMap(agent => agent.turns)]),
  );
  const events = new EventQueue();
  const engine = new SimulatedEngine(events, engineSpeed, {
    onEvicted: () => undefined,
    onTokens: () => undefined,
  });
  let done = 0;
  const chosen = calls.filter((_, index) => index % 5 === 0).slice(0, COUNTED_CALLS + 200);
  for (const [index, { inputTokens, outputTokens }] of chosen.entries()) {
    const call = {
      answered: undefined,
      attainedTokens: 0,
      deadline: undefined,
      enqueuedAt: 0,
      estimatedTokens: 1,
      excluded: new Set<never>(),
      id: `${index}` as WorkId,
      onDone: () => undefined,
      outputTokens,
      prefixes: [{ digest: `${index}` as PrefixDigest, tokens: inputTokens }],
      program: undefined,
      promptTokens: inputTokens,
      service: 'model',
      serviceMilliseconds: 0,
      workspace: 'any' as WorkspaceName,
    } as const;
    const noteEnd = (): void => {
      done++;
    };
    engine.submit(call, 0, { onDone: noteEnd, onFailed: noteEnd, onFirstToken: () => undefined });
  }
  const counted = Math.min(COUNTED_CALLS, chosen.length - 100);
  events.runUntil(Infinity, () => done >= counted);
  const totalCalls = programs.reduce((sum, turns) => sum + countCalls(turns), 0);
  return {
    callsPerProgram: totalCalls / PROGRAMS,
    callsPerSecond: (done / events.now) * MILLISECONDS_PER_SECOND,
  };
}
