import type { PolicyName } from '../policies.js';
import type { ExperimentFigures } from '../runExperiment.js';
import type { ScenarioName } from '../scenarios.js';

/** Runs of one policy under one scenario, one for each seed. */
export interface ResultRow {
  readonly scenario: ScenarioName;
  readonly policy: PolicyName;
  readonly runs: readonly ExperimentFigures[];
}

/** Mean of a figure over the seeds, and how far the seeds lie apart. */
export interface Spread {
  readonly mean: number;
  readonly lowest: number;
  readonly highest: number;
}

/**
 * Mean and spread of one figure.
 *
 * @example
 * spreadOf(row, 'programP95').mean;
 */
export function spreadOf({ runs }: ResultRow, figure: keyof ExperimentFigures): Spread {
  const values = runs.map(run => run[figure]);
  return {
    highest: Math.max(...values),
    lowest: Math.min(...values),
    mean: values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length),
  };
}
