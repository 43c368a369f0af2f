import type { WorkspaceName } from '@zincring/core';

import type { Deployment } from './deployments.js';
import type { Measurements, ProgramOutcome } from './fleet/measurements.js';
import type { PolicyName } from './policies.js';
import type { RunLength, Scenario } from './scenarios.js';
import type { Program } from './workload/program.js';

import { workspaceShares } from './deployments.js';
import { Sample } from './fleet/measurements.js';
import { selectPrograms, SimulatedFleet } from './fleet/simulatedFleet.js';
import { generateWorkload } from './workload/generateWorkload.js';

/** Options of one run. */
export interface ExperimentOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly length: RunLength;
  /** Whether each workspace is also run alone, to measure its slowdown. */
  readonly measuresSlowdown: boolean;
}

/** Result of one run; times in seconds. */
export interface ExperimentResult {
  readonly programP50: number;
  readonly programP95: number;
  readonly programP99: number;
  /** Prompt tokens that were computed again, as a share of all prompt tokens. */
  readonly recomputedShare: number;
  /** Ratio of the prompt tokens computed to those needed with one unbounded cache. */
  readonly computedRatio: number;
  /** Mean program latency relative to that of a run alone, for the worst-served workspace. */
  readonly worstSlowdown: number;
  /** The same for the 95th percentile of the program latency. */
  readonly worstSlowdownP95: number;
  readonly refusalsWithinRate: number;
  readonly queueWaitP95: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly betweenTokensP95: number;
  readonly unfinished: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
const LARGEST_WORKSPACE = workspaceShares[0]?.[0];

/**
 * Runs one experiment. The same options give the same result.
 *
 * @example
 * runExperiment({ deployment, length, measuresSlowdown: false, policy: 'ours', scenario, seed });
 */
export function runExperiment(options: ExperimentOptions): ExperimentResult {
  const { length, scenario, seed } = options;
  const programs = generateWorkload({
    durationMilliseconds: length.arrivalMilliseconds,
    loads: scenario.loads,
    seed,
  });
  const measurements = runFleet(options, programs, scenario.losses);
  const measured = measurements.programs.filter(
    outcome =>
      outcome.arrivedAt >= length.warmUpMilliseconds && isWithinRate(scenario, outcome.workspace),
  );
  const latencies = new Sample();
  for (const { latencyMilliseconds } of measured) {
    latencies.add(latencyMilliseconds / MILLISECONDS_PER_SECOND);
  }
  const slowdown = options.measuresSlowdown
    ? measureWorstSlowdown(options, programs, measured)
    : unmeasuredSlowdown;
  return {
    ...slowdown,
    ...computeTokenMetrics(measurements),
    betweenTokensP95: measurements.interTokenMillisecondsQuantile(0.95) / MILLISECONDS_PER_SECOND,
    firstTokenP50: measurements.firstTokenMilliseconds.quantile(0.5) / MILLISECONDS_PER_SECOND,
    firstTokenP95: measurements.firstTokenMilliseconds.quantile(0.95) / MILLISECONDS_PER_SECOND,
    programP50: latencies.quantile(0.5),
    programP95: latencies.quantile(0.95),
    programP99: latencies.quantile(0.99),
    queueWaitP95: measurements.queueWaitMilliseconds.quantile(0.95) / MILLISECONDS_PER_SECOND,
    refusalsWithinRate: measurements.refusalsWithinRate,
    unfinished: measured.filter(outcome => !outcome.isFinished).length,
  };
}

interface Slowdown {
  readonly worstSlowdown: number;
  readonly worstSlowdownP95: number;
}

const unmeasuredSlowdown: Slowdown = { worstSlowdown: NaN, worstSlowdownP95: NaN };

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
  fleet.run(programs, length.endMilliseconds);
  return fleet.measurements;
}

function isWithinRate(scenario: Scenario, workspace: WorkspaceName): boolean {
  return !(scenario.isLargestOverRate && workspace === LARGEST_WORKSPACE);
}

function measureWorstSlowdown(
  options: ExperimentOptions,
  programs: readonly Program[],
  measured: readonly ProgramOutcome[],
): Slowdown {
  let worst: Slowdown = { worstSlowdown: 0, worstSlowdownP95: 0 };
  for (const { workspace } of options.scenario.loads) {
    if (!isWithinRate(options.scenario, workspace)) {
      continue;
    }
    const sharedOutcomes = measured.filter(outcome => outcome.workspace === workspace);
    const programIds = new Set(sharedOutcomes.map(({ program }) => program));
    const aloneMeasurements = runFleet(options, selectPrograms(programs, workspace), undefined);
    const aloneOutcomes = aloneMeasurements.programs.filter(({ program }) =>
      programIds.has(program),
    );
    worst = {
      worstSlowdown: Math.max(
        worst.worstSlowdown,
        meanLatency(sharedOutcomes) / meanLatency(aloneOutcomes),
      ),
      worstSlowdownP95: Math.max(
        worst.worstSlowdownP95,
        latencyP95(sharedOutcomes) / latencyP95(aloneOutcomes),
      ),
    };
  }
  return worst;
}

function meanLatency(outcomes: readonly ProgramOutcome[]): number {
  const sum = outcomes.reduce((total, outcome) => total + outcome.latencyMilliseconds, 0);
  return sum / Math.max(1, outcomes.length);
}

function latencyP95(outcomes: readonly ProgramOutcome[]): number {
  const sample = new Sample();
  for (const { latencyMilliseconds } of outcomes) {
    sample.add(latencyMilliseconds);
  }
  return sample.quantile(0.95);
}

function computeTokenMetrics({
  computedTokens,
  idealTokens,
  promptTokens,
}: Measurements): Pick<ExperimentResult, 'computedRatio' | 'recomputedShare'> {
  return {
    computedRatio: computedTokens / idealTokens,
    recomputedShare: (computedTokens - idealTokens) / promptTokens,
  };
}
