import type { ProgramId, WorkspaceName } from '@zincring/core';

import type { Program, SubAgent, ToolUse, Turn } from './program.js';

import { RandomSource } from '../../../util/randomSource.js';

/** Arrival rate of the programs of one workspace. */
export interface WorkspaceLoad {
  readonly workspace: WorkspaceName;
  readonly programsPerSecond: number;
  /** Interval, in milliseconds from the start, in which the rate is multiplied by a factor. */
  readonly surge?: { readonly from: number; readonly until: number; readonly factor: number };
}

/** Options of {@link generateWorkload}. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly loads: readonly WorkspaceLoad[];
  /** Time in which programs arrive, in milliseconds. */
  readonly durationMilliseconds: number;
}

const MAXIMUM_TURNS = 57;
const TURNS_EXPONENT = 0.7;
const MAXIMUM_HISTORY_TOKENS = 110_000;
const INPUT_MEDIAN_TOKENS = 600;
const INPUT_DEVIATION = 1;
const MAXIMUM_INPUT_TOKENS = 16_000;
const OUTPUT_MEDIAN_TOKENS = 120;
const OUTPUT_DEVIATION = 0.7;
const MAXIMUM_OUTPUT_TOKENS = 800;
const PAUSE_MEDIAN_MILLISECONDS = 1_500;
const PAUSE_DEVIATION = 1.2;
const MAXIMUM_PAUSE_MILLISECONDS = 120_000;
const SERVICE_MEDIAN_MILLISECONDS = 250;
const SERVICE_DEVIATION = 0.8;
const MAXIMUM_SERVICE_MILLISECONDS = 5_000;
const SERVICE_SHARE = 0.4;
const SUB_AGENT_SHARE = 0.05;
const MAXIMUM_SUB_AGENTS = 3;
const MAXIMUM_SUB_AGENT_TURNS = 4;

/** Length of the system prompt that all programs of a workspace share, in tokens. */
export const SYSTEM_PROMPT_TOKENS = 1_500;

/**
 * Generates the programs of a run, in order of arrival; the same seed gives the same programs, and
 * those of one workspace do not depend on the others.
 *
 * @example
 * generateWorkload({ durationMilliseconds: 600_000, loads, seed: 1 });
 */
export function generateWorkload(options: WorkloadOptions): readonly Program[] {
  const programs = options.loads.flatMap((load, index) =>
    generateWorkspacePrograms(load, options, new RandomSource(options.seed * 1_000 + index)),
  );
  return programs.sort((left, right) => left.arrivesAt - right.arrivesAt);
}

/**
 * Draws the turns of one program.
 *
 * @example
 * const turns = drawTurns(new RandomSource(1));
 */
export function drawTurns(random: RandomSource): readonly Turn[] {
  const turnCount = Math.floor(random.boundedPareto(TURNS_EXPONENT, 1, MAXIMUM_TURNS + 1));
  const turns: Turn[] = [];
  let historyTokens = SYSTEM_PROMPT_TOKENS;
  while (turns.length < Math.min(MAXIMUM_TURNS, turnCount)) {
    const turn = drawTurn(random, drawSubAgents(random));
    historyTokens += turn.inputTokens + turn.outputTokens;
    if (historyTokens > MAXIMUM_HISTORY_TOKENS) {
      break;
    }
    turns.push(turn);
  }
  return turns;
}

function generateWorkspacePrograms(
  { programsPerSecond, surge, workspace }: WorkspaceLoad,
  { durationMilliseconds }: WorkloadOptions,
  random: RandomSource,
): Program[] {
  const programs: Program[] = [];
  const meanIntervalMilliseconds = 1_000 / programsPerSecond;
  let arrivesAt = random.exponential(meanIntervalMilliseconds);
  while (arrivesAt < durationMilliseconds) {
    const id = `${workspace}-${programs.length}` as ProgramId;
    programs.push({ arrivesAt, id, turns: drawTurns(random), workspace });
    const isSurging = surge !== undefined && arrivesAt >= surge.from && arrivesAt < surge.until;
    arrivesAt += random.exponential(meanIntervalMilliseconds / (isSurging ? surge.factor : 1));
  }
  return programs;
}

function drawTurn(random: RandomSource, subAgents: readonly SubAgent[]): Turn {
  const input = random.logNormal(INPUT_MEDIAN_TOKENS, INPUT_DEVIATION);
  const output = random.logNormal(OUTPUT_MEDIAN_TOKENS, OUTPUT_DEVIATION);
  return {
    inputTokens: Math.ceil(Math.min(MAXIMUM_INPUT_TOKENS, input)),
    outputTokens: Math.ceil(Math.min(MAXIMUM_OUTPUT_TOKENS, output)),
    subAgents,
    tool: drawTool(random),
  };
}

function drawTool(random: RandomSource): ToolUse {
  if (random.uniform() < SERVICE_SHARE) {
    const drawnMilliseconds = random.logNormal(SERVICE_MEDIAN_MILLISECONDS, SERVICE_DEVIATION);
    return {
      kind: 'service',
      milliseconds: Math.min(MAXIMUM_SERVICE_MILLISECONDS, drawnMilliseconds),
    };
  }
  const drawnMilliseconds = random.logNormal(PAUSE_MEDIAN_MILLISECONDS, PAUSE_DEVIATION);
  return { kind: 'pause', milliseconds: Math.min(MAXIMUM_PAUSE_MILLISECONDS, drawnMilliseconds) };
}

function drawSubAgents(random: RandomSource): readonly SubAgent[] {
  if (random.uniform() >= SUB_AGENT_SHARE) {
    return [];
  }
  return Array.from({ length: 1 + random.below(MAXIMUM_SUB_AGENTS) }, () => ({
    inheritsHistory: random.uniform() < 0.5,
    turns: Array.from({ length: 1 + random.below(MAXIMUM_SUB_AGENT_TURNS) }, () =>
      drawTurn(random, []),
    ),
  }));
}
