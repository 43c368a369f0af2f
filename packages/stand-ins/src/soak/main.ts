import { hashKey } from '@zincring/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { Fleet } from '../launch/fleet.js';
import { FaultInjector, type SoakFault } from './faultInjector.js';
import { findViolations, type Violation } from './invariants.js';
import { pause, ProgramDriver } from './programDriver.js';
import { RandomSource } from '../util/randomSource.js';

const KEY = 'soak-key-7f3a';
const MAXIMUM_TURNS = 12;
const SETTLE_MILLISECONDS = 2_000;

const rules = `
workspace utility rate=100000 burst=100000 # soak: load
key soak workspace=utility hash=${hashKey(KEY)} # soak: load
service minutes-llm protocol=engine fencing=checked timeout=20 # soak: models
service ticket-app protocol=plain idempotent=no timeout=20 # soak: orders
program trace services=minutes-llm,ticket-app tokens=10000000 calls=1000 # soak: programs
`;

const settings = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .usage('$0: injects random faults into real processes, then checks the invariants')
  .strict()
  .options({
    drivers: { default: 8, describe: 'number of programs that run concurrently', type: 'number' },
    instances: { default: 3, describe: 'number of instances', type: 'number' },
    seconds: { default: 60, describe: 'duration of the fault injection', type: 'number' },
    seed: { default: 1, describe: 'seed of the faults and the load', type: 'number' },
  })
  .parseAsync();

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const fleet = await Fleet.start({
  engines: 2,
  instances: settings.instances,
  plainServices: 2,
  settings: { logLevel: 'error' },
  zones: ['nelson', 'castlegar', 'trail'],
});
try {
  await fleet.applyRules(rules);
  await fleet.waitUntilReady();
  const endsAt = performance.now() + settings.seconds * 1_000;
  const isOver = (): boolean => performance.now() >= endsAt;
  const faults = new Map<SoakFault, number>();
  const stopTimeouts: Violation[] = [];
  const drivers = Array.from(
    { length: settings.drivers },
    (_, index) =>
      new ProgramDriver(`driver-${index}`, {
        fleet,
        isOver,
        key: KEY,
        maximumTurns: MAXIMUM_TURNS,
        random: new RandomSource(settings.seed * 1_000 + index),
      }),
  );
  const injector = new FaultInjector({
    fleet,
    isOver,
    random: new RandomSource(settings.seed),
    report: (fault, detail) => {
      faults.set(fault, (faults.get(fault) ?? 0) + 1);
      print(`${fault} ${detail}`);
    },
    reportStopTimeout: instance => {
      stopTimeouts.push({ detail: instance, invariant: 'a planned stop ends' });
    },
  });
  await Promise.all([injector.run(), ...drivers.map(async driver => driver.run())]);
  await fleet.waitUntilReady();
  await pause(SETTLE_MILLISECONDS);
  const programs = drivers.flatMap(driver => driver.programs);
  const violations = [...stopTimeouts, ...(await findViolations({ fleet, key: KEY, programs }))];
  const calls = programs.flatMap(driven => driven.calls);
  const answered = calls.filter(call => call.text !== undefined).length;
  print(`faults: ${JSON.stringify(Object.fromEntries(faults))}`);
  print(`programs ${programs.length}, calls ${calls.length}, answered ${answered}`);
  violations.forEach(violation => {
    print(`VIOLATION ${violation.invariant}: ${violation.detail}`);
  });
  print(`seed ${settings.seed}: ${violations.length} violations`);
  process.exitCode = violations.length === 0 ? 0 : 1;
} finally {
  await fleet.stop();
}
