import type { PolicyName } from '../policies.js';
import type { ExperimentResult } from '../runExperiment.js';
import type { ScenarioName } from '../scenarios.js';

/** Results of one policy in one scenario, one for each seed. */
export interface ResultRow {
  readonly scenario: ScenarioName;
  readonly policy: PolicyName;
  readonly runs: readonly ExperimentResult[];
}

/** Mean and range of a metric over the seeds. */
export interface MetricSummary {
  readonly mean: number;
  readonly lowest: number;
  readonly highest: number;
}

/**
 * Returns the mean and the range of one metric.
 *
 * @example
 * summariseMetric(row, 'programP95').mean;
 */
export function summariseMetric(
  { runs }: ResultRow,
  metric: keyof ExperimentResult,
): MetricSummary {
  const values = runs.map(run => run[metric]);
  return {
    highest: Math.max(...values),
    lowest: Math.min(...values),
    mean: values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length),
  };
}
