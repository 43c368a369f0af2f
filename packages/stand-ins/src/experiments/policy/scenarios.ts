import type { Capacity } from './capacity.js';
import type { WorkspaceLoad } from './workload/generateWorkload.js';

import { deployments, workspaceShares } from './deployments.js';

/** Names of the scenarios. */
export const scenarioNames = [
  'load 0.5',
  'load 0.8',
  'load 0.95',
  'load 1.2',
  'surge of the largest',
  'largest sends tenfold',
  'two replicas lost',
  'reports 5 s late',
] as const;

/** Name of a scenario. */
export type ScenarioName = (typeof scenarioNames)[number];

/** Length of a run. */
export interface RunLength {
  /** Time in which programs arrive, in milliseconds. */
  readonly arrivalMilliseconds: number;
  /** Time before which arriving programs are not measured, in milliseconds. */
  readonly warmUpMilliseconds: number;
  /** Latest time at which the run ends, in milliseconds. */
  readonly endMilliseconds: number;
}

/** Load and faults of a run. */
export interface Scenario {
  readonly name: ScenarioName;
  readonly loads: readonly WorkspaceLoad[];
  readonly reportLagMilliseconds: number;
  /** Number of model replicas that crash, and the time of the crash in milliseconds. */
  readonly losses: { readonly count: number; readonly at: number } | undefined;
  /** Whether the largest workspace exceeds its rate, so that its own service is not measured. */
  readonly isLargestOverRate: boolean;
}

const REPORT_LAG_MILLISECONDS = 1_000;
const LATE_REPORT_LAG_MILLISECONDS = 5_000;
const SURGE_FACTOR = 4;
/** Load of the other workspaces together in `largest sends tenfold`, relative to the capacity. */
const OTHERS_LOAD = 0.35;
/** Load of the largest workspace in that scenario, relative to an equal share of the capacity. */
const LARGEST_LOAD_FACTOR = 10;

/** Lengths of runs. */
export const runLengths = {
  full: { arrivalMilliseconds: 600_000, endMilliseconds: 2_400_000, warmUpMilliseconds: 60_000 },
  quick: { arrivalMilliseconds: 200_000, endMilliseconds: 800_000, warmUpMilliseconds: 20_000 },
} as const satisfies Readonly<Record<string, RunLength>>;

/**
 * Builds a scenario for a measured capacity.
 *
 * @example
 * createScenario('load 0.8', measureCapacity(), runLengths.quick);
 */
export function createScenario(
  name: ScenarioName,
  capacity: Capacity,
  length: RunLength,
): Scenario {
  const baseScenario: Scenario = {
    isLargestOverRate: false,
    loads: createLoads(0.8, capacity),
    losses: undefined,
    name,
    reportLagMilliseconds: REPORT_LAG_MILLISECONDS,
  };
  switch (name) {
    case 'load 0.5':
      return { ...baseScenario, loads: createLoads(0.5, capacity) };
    case 'load 0.8':
      return baseScenario;
    case 'load 0.95':
      return { ...baseScenario, loads: createLoads(0.95, capacity) };
    case 'load 1.2':
      return { ...baseScenario, loads: createLoads(1.2, capacity) };
    case 'surge of the largest':
      return {
        ...baseScenario,
        isLargestOverRate: true,
        loads: addSurge(baseScenario.loads, length),
      };
    case 'largest sends tenfold':
      return { ...baseScenario, isLargestOverRate: true, loads: createTenfoldLoads(capacity) };
    case 'two replicas lost':
      return { ...baseScenario, losses: { at: length.arrivalMilliseconds * 0.4, count: 2 } };
    case 'reports 5 s late':
      return { ...baseScenario, reportLagMilliseconds: LATE_REPORT_LAG_MILLISECONDS };
  }
}

function computeProgramCapacityPerSecond({ callsPerProgram, callsPerSecond }: Capacity): number {
  return (callsPerSecond * deployments.utility.modelReplicas) / callsPerProgram;
}

function createLoads(load: number, capacity: Capacity): readonly WorkspaceLoad[] {
  const rate = load * computeProgramCapacityPerSecond(capacity);
  return workspaceShares.map(([workspace, share]) => ({
    programsPerSecond: share * rate,
    workspace,
  }));
}

function addSurge(
  loads: readonly WorkspaceLoad[],
  { arrivalMilliseconds }: RunLength,
): WorkspaceLoad[] {
  const surge = {
    factor: SURGE_FACTOR,
    from: arrivalMilliseconds * 0.4,
    until: arrivalMilliseconds * 0.55,
  };
  return loads.map((load, index) => (index === 0 ? { ...load, surge } : load));
}

function createTenfoldLoads(capacity: Capacity): readonly WorkspaceLoad[] {
  const rate = computeProgramCapacityPerSecond(capacity);
  const otherWorkspaceCount = workspaceShares.length - 1;
  return workspaceShares.map(([workspace], index) => ({
    programsPerSecond:
      index === 0
        ? (LARGEST_LOAD_FACTOR * rate) / workspaceShares.length
        : (OTHERS_LOAD * rate) / otherWorkspaceCount,
    workspace,
  }));
}
