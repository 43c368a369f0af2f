import type { PrefixDigest, WorkId } from '@zincring/scheduling';
import type { WorkspaceName } from '@zincring/core';

import { engineOptions } from './deployments.js';
import { EventQueue } from './fleet/eventQueue.js';
import { SimulatedEngine } from './fleet/simulatedEngine.js';
import { countCalls } from './workload/program.js';
import { drawTurns } from './workload/generateWorkload.js';
import { RandomSource } from '../../util/randomSource.js';

/** Maximum throughput of one engine, and mean demand of a program. */
export interface Capacity {
  /** Calls per second of one engine that always has calls waiting and computes no token twice. */
  readonly callsPerSecond: number;
  /** Mean number of model calls of a program. */
  readonly callsPerProgram: number;
}

const CAPACITY_SEED = 7;
const PROGRAM_COUNT = 4_000;
const MEASURED_CALLS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Measures the throughput of an engine that always has calls waiting and whose calls add only their
 * new input to the prompt, as if all history were cached.
 *
 * @example
 * const { callsPerSecond } = measureCapacity();
 */
export function measureCapacity(): Capacity {
  const random = new RandomSource(CAPACITY_SEED);
  const programs = Array.from({ length: PROGRAM_COUNT }, () => drawTurns(random));
  const calls = programs.flatMap(turns =>
    turns.flatMap(turn => [turn, ...turn.subAgents.flatMap(agent => agent.turns)]),
  );
  const events = new EventQueue();
  const engine = new SimulatedEngine(events, engineOptions, {
    onEvicted: () => undefined,
    onTokens: () => undefined,
  });
  let finishedCalls = 0;
  const sampledCalls = calls.filter((_, index) => index % 5 === 0).slice(0, MEASURED_CALLS + 200);
  for (const [index, { inputTokens, outputTokens }] of sampledCalls.entries()) {
    const call = {
      prefixWithOutput: undefined,
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
    const recordEnd = (): void => {
      finishedCalls++;
    };
    engine.submit(call, 0, {
      onDone: recordEnd,
      onFailed: recordEnd,
      onFirstToken: () => undefined,
    });
  }
  const targetFinishedCalls = Math.min(MEASURED_CALLS, sampledCalls.length - 100);
  events.runUntil(Infinity, () => finishedCalls >= targetFinishedCalls);
  const totalCalls = programs.reduce((sum, turns) => sum + countCalls(turns), 0);
  return {
    callsPerProgram: totalCalls / PROGRAM_COUNT,
    callsPerSecond: (finishedCalls / events.now) * MILLISECONDS_PER_SECOND,
  };
}
