import type { DeploymentName } from './deployments.js';
import type { PolicyName } from './policies.js';
import type { ExperimentResult } from './runExperiment.js';
import type { ScenarioName } from './scenarios.js';

import { measureCapacity } from './capacity.js';
import { deployments } from './deployments.js';
import { runExperiment } from './runExperiment.js';
import { createScenario, runLengths } from './scenarios.js';

/** One run, in the form that is sent to a worker thread. */
export interface ExperimentJob {
  readonly deployment: DeploymentName;
  readonly scenario: ScenarioName;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly isQuick: boolean;
  readonly measuresSlowdown: boolean;
}

const capacity = measureCapacity();

/**
 * Runs one job and returns its result.
 *
 * @example
 * runJob({ ...job, seed: 2 });
 */
export function runJob(job: ExperimentJob): ExperimentResult {
  const length = job.isQuick ? runLengths.quick : runLengths.full;
  return runExperiment({
    measuresSlowdown: job.measuresSlowdown,
    deployment: deployments[job.deployment],
    length,
    policy: job.policy,
    scenario: createScenario(job.scenario, capacity, length),
    seed: job.seed,
  });
}
