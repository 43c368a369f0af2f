import type { SimulatedFleet, SimulatedInstance } from './simulatedFleet.js';

/** Names of the scenarios. */
export type ScenarioName =
  | 'crash'
  | 'even load'
  | 'five times the rate'
  | 'rolling restart'
  | 'skewed load'
  | 'store outage';

/** One history that every mechanism goes through. */
export interface Scenario {
  readonly name: ScenarioName;
  /** Offered requests as a part of each workspace's rate. */
  readonly load: number;
  /** Whether all requests of a workspace reach one instance. */
  readonly isSkewed: boolean;
  readonly durationMilliseconds: number;
  /** What happens beside the requests. */
  readonly disturb: (fleet: SimulatedFleet) => void;
}

const SECOND = 1_000;
const MINUTE = 60 * SECOND;
const RESTART_INTERVAL_MILLISECONDS = 10 * SECOND;
const RESTART_PAUSE_MILLISECONDS = 2 * SECOND;
const OUTAGE_START_MILLISECONDS = 20 * SECOND;
const OUTAGE_MILLISECONDS = 20 * MINUTE;

function nothing(): void {
  // The load alone is the history.
}

function crashOne(fleet: SimulatedFleet): void {
  fleet.timers.after(10 * SECOND, () => {
    const victim = fleet.instances[0];
    if (victim !== undefined) {
      fleet.crash(victim);
    }
  });
}

function restartAll(fleet: SimulatedFleet): void {
  for (const [index, instance] of fleet.instances.entries()) {
    fleet.timers.after((index + 1) * RESTART_INTERVAL_MILLISECONDS, () => {
      void replace(fleet, instance);
    });
  }
}

async function replace(fleet: SimulatedFleet, instance: SimulatedInstance): Promise<void> {
  await fleet.drain(instance);
  fleet.timers.after(RESTART_PAUSE_MILLISECONDS, () => {
    fleet.restart(instance);
  });
}

function outage(fleet: SimulatedFleet): void {
  fleet.timers.after(OUTAGE_START_MILLISECONDS, () => {
    fleet.faults.set({ outage: 'refuse' });
  });
  fleet.timers.after(OUTAGE_START_MILLISECONDS + OUTAGE_MILLISECONDS, () => {
    fleet.faults.set({ outage: 'none' });
  });
}

/** Every scenario of the comparison. */
export const scenarios: readonly Scenario[] = [
  {
    disturb: nothing,
    durationMilliseconds: 2 * MINUTE,
    isSkewed: false,
    load: 0.9,
    name: 'even load',
  },
  {
    disturb: nothing,
    durationMilliseconds: 2 * MINUTE,
    isSkewed: true,
    load: 0.9,
    name: 'skewed load',
  },
  {
    disturb: crashOne,
    durationMilliseconds: 2 * MINUTE,
    isSkewed: false,
    load: 0.9,
    name: 'crash',
  },
  {
    disturb: restartAll,
    durationMilliseconds: 3 * MINUTE,
    isSkewed: false,
    load: 0.9,
    name: 'rolling restart',
  },
  {
    disturb: outage,
    durationMilliseconds: 21 * MINUTE,
    isSkewed: false,
    load: 0.9,
    name: 'store outage',
  },
  {
    disturb: nothing,
    durationMilliseconds: MINUTE,
    isSkewed: false,
    load: 5,
    name: 'five times the rate',
  },
];
