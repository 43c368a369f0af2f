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

/** Sizes of a run. */
export interface RunLength {
  /** Time in which programs arrive, in milliseconds. */
  readonly arrivals: number;
  /** Programs that arrive earlier are not measured, in milliseconds. */
  readonly warmUp: number;
  /** End of the run, in milliseconds. */
  readonly until: number;
}

/** One way of loading the fleet. */
export interface Scenario {
  readonly name: ScenarioName;
  readonly loads: readonly WorkspaceLoad[];
  readonly reportLagMilliseconds: number;
  readonly losses: { readonly count: number; readonly at: number } | undefined;
  /** Whether the largest workspace is beyond its rate, so that its own service is not measured. */
  readonly isLargestOverRate: boolean;
}

const REPORT_LAG_MILLISECONDS = 1_000;
const LATE_REPORT_LAG_MILLISECONDS = 5_000;
const SURGE_FACTOR = 4;
/** What workspaces other than the largest send together while that sends tenfold. */
const OTHERS_LOAD = 0.35;
/** Multiple of its equal share of the capacity that the largest workspace then sends. */
const TENFOLD = 10;

/** Lengths of runs. */
export const runLengths = {
  full: { arrivals: 600_000, until: 2_400_000, warmUp: 60_000 },
  quick: { arrivals: 200_000, until: 800_000, warmUp: 20_000 },
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
  const basis: Scenario = {
    isLargestOverRate: false,
    loads: loadsAt(0.8, capacity),
    losses: undefined,
    name,
    reportLagMilliseconds: REPORT_LAG_MILLISECONDS,
  };
  switch (name) {
    case 'load 0.5':
      return { ...basis, loads: loadsAt(0.5, capacity) };
    case 'load 0.8':
      return basis;
    case 'load 0.95':
      return { ...basis, loads: loadsAt(0.95, capacity) };
    case 'load 1.2':
      return { ...basis, loads: loadsAt(1.2, capacity) };
    case 'surge of the largest':
      return { ...basis, isLargestOverRate: true, loads: surging(basis.loads, length) };
    case 'largest sends tenfold':
      return { ...basis, isLargestOverRate: true, loads: tenfoldLoads(capacity) };
    case 'two replicas lost':
      return { ...basis, losses: { at: length.arrivals * 0.4, count: 2 } };
    case 'reports 5 s late':
      return { ...basis, reportLagMilliseconds: LATE_REPORT_LAG_MILLISECONDS };
  }
}

function programsPerSecond({ callsPerProgram, callsPerSecond }: Capacity): number {
  return (callsPerSecond * deployments.utility.modelReplicas) / callsPerProgram;
}

function loadsAt(load: number, capacity: Capacity): readonly WorkspaceLoad[] {
  const rate = load * programsPerSecond(capacity);
  return workspaceShares.map(([workspace, share]) => ({
    programsPerSecond: share * rate,
    workspace,
  }));
}

function surging(loads: readonly WorkspaceLoad[], { arrivals }: RunLength): WorkspaceLoad[] {
  const surge = { factor: SURGE_FACTOR, from: arrivals * 0.4, until: arrivals * 0.55 };
  return loads.map((load, index) => (index === 0 ? { ...load, surge } : load));
}

function tenfoldLoads(capacity: Capacity): readonly WorkspaceLoad[] {
  const rate = programsPerSecond(capacity);
  const others = workspaceShares.length - 1;
  return workspaceShares.map(([workspace], index) => ({
    programsPerSecond:
      index === 0 ? (TENFOLD * rate) / workspaceShares.length : (OTHERS_LOAD * rate) / others,
    workspace,
  }));
}
