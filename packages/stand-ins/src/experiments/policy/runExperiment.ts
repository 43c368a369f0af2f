import type { WorkspaceName } from '@zincring/core';

import type { Deployment } from './deployments.js';
import type { Measurements, ProgramOutcome } from './fleet/measurements.js';
import type { PolicyName } from './policies.js';
import type { RunLength, Scenario } from './scenarios.js';
import type { Program } from './workload/program.js';

import { workspaceShares } from './deployments.js';
import { Sample } from './fleet/measurements.js';
import { programsOf, SimulatedFleet } from './fleet/simulatedFleet.js';
import { generateWorkload } from './workload/generateWorkload.js';

/** One run: a scenario, a policy and a seed. */
export interface ExperimentOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly length: RunLength;
  /** Whether each workspace is run alone as well, for its slowdown. */
  readonly comparesAlone: boolean;
}

/** Figures of one run; times in seconds. */
export interface ExperimentFigures {
  readonly programP50: number;
  readonly programP95: number;
  readonly programP99: number;
  /** Prompt tokens computed beyond the first time, as a share of all prompt tokens. */
  readonly recomputedShare: number;
  /** Prompt tokens computed over those that one endless cache would have needed. */
  readonly computedRatio: number;
  /** Mean program latency of the worst-served workspace over that when it runs alone. */
  readonly worstSlowdown: number;
  /** The same, by the 95th percentile of the programs' latency. */
  readonly worstSlowdownP95: number;
  readonly refusalsWithinRate: number;
  readonly queueWaitP95: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly betweenTokensP95: number;
  readonly unfinished: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
const LARGEST = workspaceShares[0]?.[0];

/**
 * Runs one experiment. The same options give the same figures.
 *
 * @example
 * runExperiment({ comparesAlone: false, deployment, length, policy: 'ours', scenario, seed: 1 });
 */
export function runExperiment(options: ExperimentOptions): ExperimentFigures {
  const { length, scenario, seed } = options;
  const programs = generateWorkload({
    durationMilliseconds: length.arrivals,
    loads: scenario.loads,
    seed,
  });
  const measurements = runFleet(options, programs, scenario.losses);
  const measured = measurements.programs.filter(
    outcome => outcome.arrivedAt >= length.warmUp && isWithinRate(scenario, outcome.workspace),
  );
  const latencies = new Sample();
  for (const { latencyMilliseconds } of measured) {
    latencies.add(latencyMilliseconds / MILLISECONDS_PER_SECOND);
  }
  const slowdown = options.comparesAlone ? worstSlowdown(options, programs, measured) : noSlowdown;
  return {
    ...slowdown,
    ...tokenFigures(measurements),
    betweenTokensP95: measurements.betweenTokensQuantile(0.95) / MILLISECONDS_PER_SECOND,
    firstTokenP50: measurements.firstToken.quantile(0.5) / MILLISECONDS_PER_SECOND,
    firstTokenP95: measurements.firstToken.quantile(0.95) / MILLISECONDS_PER_SECOND,
    programP50: latencies.quantile(0.5),
    programP95: latencies.quantile(0.95),
    programP99: latencies.quantile(0.99),
    queueWaitP95: measurements.queueWait.quantile(0.95) / MILLISECONDS_PER_SECOND,
    refusalsWithinRate: measurements.refusals,
    unfinished: measured.filter(outcome => !outcome.isFinished).length,
  };
}

interface Slowdown {
  readonly worstSlowdown: number;
  readonly worstSlowdownP95: number;
}

const noSlowdown: Slowdown = { worstSlowdown: NaN, worstSlowdownP95: NaN };

function runFleet(
  { deployment, length, policy, scenario, seed }: ExperimentOptions,
  programs: readonly Program[],
  losses: Scenario['losses'],
): Measurements {
  const { reportLagMilliseconds } = scenario;
  const fleet = new SimulatedFleet({
    deployment,
    isWithinRate: workspace => isWithinRate(scenario, workspace),
    losses,
    policy,
    reportLagMilliseconds,
    seed,
  });
  fleet.run(programs, length.until);
  return fleet.measurements;
}

function isWithinRate(scenario: Scenario, workspace: WorkspaceName): boolean {
  return !(scenario.isLargestOverRate && workspace === LARGEST);
}

function worstSlowdown(
  options: ExperimentOptions,
  programs: readonly Program[],
  measured: readonly ProgramOutcome[],
): Slowdown {
  let worst: Slowdown = { worstSlowdown: 0, worstSlowdownP95: 0 };
  for (const { workspace } of options.scenario.loads) {
    if (!isWithinRate(options.scenario, workspace)) {
      continue;
    }
    const together = measured.filter(outcome => outcome.workspace === workspace);
    const names = new Set(together.map(({ program }) => program));
    const alone = runFleet(options, programsOf(programs, workspace), undefined);
    const same = alone.programs.filter(({ program }) => names.has(program));
    worst = {
      worstSlowdown: Math.max(worst.worstSlowdown, mean(together) / mean(same)),
      worstSlowdownP95: Math.max(worst.worstSlowdownP95, tail(together) / tail(same)),
    };
  }
  return worst;
}

function mean(outcomes: readonly ProgramOutcome[]): number {
  const sum = outcomes.reduce((total, outcome) => total + outcome.latencyMilliseconds, 0);
  return sum / Math.max(1, outcomes.length);
}

function tail(outcomes: readonly ProgramOutcome[]): number {
  const sample = new Sample();
  for (const { latencyMilliseconds } of outcomes) {
    sample.add(latencyMilliseconds);
  }
  return sample.quantile(0.95);
}

function tokenFigures({
  computedTokens,
  idealTokens,
  promptTokens,
}: Measurements): Pick<ExperimentFigures, 'computedRatio' | 'recomputedShare'> {
  return {
    computedRatio: computedTokens / idealTokens,
    recomputedShare: (computedTokens - idealTokens) / promptTokens,
  };
}
