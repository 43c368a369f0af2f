import type { BucketSize, LeaseTerms } from '@zincring/coordination';

import type { MechanismName } from '../../../stand-ins/src/experiments/limits/mechanisms.js';
import type { SimulatedInstance } from '../../../stand-ins/src/experiments/limits/simulatedFleet.js';

import { RandomSource } from '../../../stand-ins/src/util/randomSource.js';
import { SimulatedFleet } from '../../../stand-ins/src/experiments/limits/simulatedFleet.js';

export interface RandomFaultOptions {
  readonly mechanism: MechanismName;
  readonly seed: number;
  readonly steps: number;
  readonly seatTerms: LeaseTerms;
  readonly instances: number;
}

export interface RandomFaultOutcome {
  readonly granted: number;
  readonly violations: ReadonlyMap<string, number>;
  /** Fraction of the rate that was granted under overload after all faults had ended. */
  readonly recoveredFractions: ReadonlyMap<string, number>;
}

const limitChoices: readonly (readonly [string, readonly BucketSize[]])[] = [
  [
    'large',
    [
      { burst: 40, rate: 20 },
      { burst: 30, rate: 8 },
    ],
  ],
  [
    'medium',
    [
      { burst: 20, rate: 8 },
      { burst: 5, rate: 10 },
    ],
  ],
  [
    'small',
    [
      { burst: 2, rate: 1 },
      { burst: 4, rate: 2 },
    ],
  ],
  ['single', [{ burst: 1, rate: 2 }]],
];

/** Runs a fleet under five times its rate with random faults, often several at a time. */
export async function runRandomFaults(options: RandomFaultOptions): Promise<RandomFaultOutcome> {
  const random = new RandomSource(options.seed);
  const limits = new Map(limitChoices.map(([name, choices]) => [name, choices[0]!]));
  const fleet = new SimulatedFleet({ ...options, drift: 0.0005, limits, random });
  let granted = 0;
  const sendRequests = (load: number): void => {
    for (const [workspace, size] of limits) {
      const instances = random.uniform() < 0.5 ? fleet.instances : [random.pick(fleet.instances)];
      for (let count = Math.ceil(size.rate * load); count > 0; count--) {
        fleet.request(random.pick(instances), workspace, random.below(3_000), outcome => {
          granted += outcome === 'granted' ? 1 : 0;
        });
      }
    }
  };
  for (let step = 0; step < options.steps; step++) {
    sendRequests(random.uniform() * 6);
    // Some messages are still in flight when the faults occur.
    await fleet.timers.advance(random.below(6));
    for (let remainingFaults = random.below(4); remainingFaults > 0; remainingFaults--) {
      injectFault(fleet, random);
    }
    sendRequests(random.uniform() * 2);
    await fleet.timers.advance(random.uniform() < 0.5 ? random.below(1_000) : random.below(6_000));
  }
  await endFaults(fleet, options.seatTerms.termMilliseconds, limits);
  const grantsBefore = new Map(
    [...fleet.checkers].map(([name, checker]) => [name, checker.grants]),
  );
  const seconds = 20;
  for (let second = 0; second < seconds * 4; second++) {
    sendRequests(1);
    await fleet.timers.advance(250);
  }
  return {
    granted,
    recoveredFractions: new Map(
      [...fleet.checkers].map(([name, checker]) => [
        name,
        (checker.grants - grantsBefore.get(name)!) / (limits.get(name)!.rate * seconds),
      ]),
    ),
    violations: new Map([...fleet.checkers].map(([name, checker]) => [name, checker.violations])),
  };
}

async function endFaults(
  fleet: SimulatedFleet,
  termMilliseconds: number,
  limits: ReadonlyMap<string, BucketSize>,
): Promise<void> {
  fleet.faults.set({ errors: 0, latencyMilliseconds: 5, lostAnswers: 0, outage: 'none' });
  fleet.healAllPartitions();
  for (const instance of fleet.instances) {
    instance.process.resume();
    if (instance.process.state === 'dead' || instance.isLeaving) {
      fleet.restart(instance);
    }
    fleet.configure(instance, limits);
  }
  await fleet.timers.advance(2 * termMilliseconds + 20_000);
}

type FaultInjection = (
  fleet: SimulatedFleet,
  instance: SimulatedInstance,
  other: SimulatedInstance,
  random: RandomSource,
) => void;

const restart: FaultInjection = (fleet, instance) => {
  fleet.restart(instance);
};

const faultInjections: readonly FaultInjection[] = [
  (fleet, instance) => {
    fleet.crash(instance);
  },
  restart,
  restart,
  (_fleet, instance) => {
    instance.process.pause();
  },
  (_fleet, instance) => {
    instance.process.resume();
  },
  (_fleet, instance) => {
    instance.process.resume();
  },
  (fleet, instance, other) => {
    fleet.setPartitioned(instance.name, other.name, true);
  },
  fleet => {
    fleet.healAllPartitions();
  },
  (fleet, instance) => {
    if (instance.process.state === 'running') {
      void fleet.drain(instance);
    }
  },
  (fleet, instance, _other, random) => {
    // A new configuration version reaches the instances one at a time.
    const newLimits = limitChoices.map(([name, choices]) => [name, random.pick(choices)] as const);
    fleet.configure(instance, new Map(newLimits));
  },
  (fleet, _instance, _other, random) => {
    fleet.faults.set({ lostAnswers: random.below(3) });
  },
  (fleet, _instance, _other, random) => {
    fleet.faults.set({ errors: random.below(5), latencyMilliseconds: random.below(400) });
  },
  fleet => {
    fleet.faults.set({ outage: 'refuse' });
  },
  fleet => {
    fleet.faults.set({ outage: 'none' });
  },
  fleet => {
    fleet.timers.stepWallClock(-3_600_000);
  },
];

function injectFault(fleet: SimulatedFleet, random: RandomSource): void {
  const instance = random.pick(fleet.instances);
  random.pick(faultInjections)(fleet, instance, random.pick(fleet.instances), random);
}
