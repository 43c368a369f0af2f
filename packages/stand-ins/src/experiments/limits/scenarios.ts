import type { SimulatedFleet, SimulatedInstance } from './simulatedFleet.js';

/** Names of the scenarios. */
export type ScenarioName =
  | 'crash'
  | 'even load'
  | 'five times the rate'
  | 'rolling restart'
  | 'skewed load'
  | 'store outage';

/** Load and faults under which every mechanism is run. */
export interface Scenario {
  readonly name: ScenarioName;
  /** Offered requests as a multiple of each workspace's rate. */
  readonly load: number;
  /** Whether all requests of a workspace reach one instance. */
  readonly isSkewed: boolean;
  readonly durationMilliseconds: number;
  /** Schedules the faults that occur during the run. */
  readonly scheduleFaults: (fleet: SimulatedFleet) => void;
}

const SECOND_MILLISECONDS = 1_000;
const MINUTE_MILLISECONDS = 60 * SECOND_MILLISECONDS;
const RESTART_INTERVAL_MILLISECONDS = 10 * SECOND_MILLISECONDS;
const RESTART_DELAY_MILLISECONDS = 2 * SECOND_MILLISECONDS;
const OUTAGE_START_MILLISECONDS = 20 * SECOND_MILLISECONDS;
const OUTAGE_DURATION_MILLISECONDS = 20 * MINUTE_MILLISECONDS;

function scheduleNoFaults(): void {
  // The scenario consists of load only.
}

function scheduleCrash(fleet: SimulatedFleet): void {
  fleet.timers.after(10 * SECOND_MILLISECONDS, () => {
    const victim = fleet.instances[0];
    if (victim !== undefined) {
      fleet.crash(victim);
    }
  });
}

function scheduleRollingRestart(fleet: SimulatedFleet): void {
  for (const [index, instance] of fleet.instances.entries()) {
    fleet.timers.after((index + 1) * RESTART_INTERVAL_MILLISECONDS, () => {
      void drainAndRestart(fleet, instance);
    });
  }
}

async function drainAndRestart(fleet: SimulatedFleet, instance: SimulatedInstance): Promise<void> {
  await fleet.drain(instance);
  fleet.timers.after(RESTART_DELAY_MILLISECONDS, () => {
    fleet.restart(instance);
  });
}

function scheduleStoreOutage(fleet: SimulatedFleet): void {
  fleet.timers.after(OUTAGE_START_MILLISECONDS, () => {
    fleet.faults.set({ outage: 'refuse' });
  });
  fleet.timers.after(OUTAGE_START_MILLISECONDS + OUTAGE_DURATION_MILLISECONDS, () => {
    fleet.faults.set({ outage: 'none' });
  });
}

/** All scenarios of the comparison. */
export const scenarios: readonly Scenario[] = [
  {
    scheduleFaults: scheduleNoFaults,
    durationMilliseconds: 2 * MINUTE_MILLISECONDS,
    isSkewed: false,
    load: 0.9,
    name: 'even load',
  },
  {
    scheduleFaults: scheduleNoFaults,
    durationMilliseconds: 2 * MINUTE_MILLISECONDS,
    isSkewed: true,
    load: 0.9,
    name: 'skewed load',
  },
  {
    scheduleFaults: scheduleCrash,
    durationMilliseconds: 2 * MINUTE_MILLISECONDS,
    isSkewed: false,
    load: 0.9,
    name: 'crash',
  },
  {
    scheduleFaults: scheduleRollingRestart,
    durationMilliseconds: 3 * MINUTE_MILLISECONDS,
    isSkewed: false,
    load: 0.9,
    name: 'rolling restart',
  },
  {
    scheduleFaults: scheduleStoreOutage,
    durationMilliseconds: 21 * MINUTE_MILLISECONDS,
    isSkewed: false,
    load: 0.9,
    name: 'store outage',
  },
  {
    scheduleFaults: scheduleNoFaults,
    durationMilliseconds: MINUTE_MILLISECONDS,
    isSkewed: false,
    load: 5,
    name: 'five times the rate',
  },
];
