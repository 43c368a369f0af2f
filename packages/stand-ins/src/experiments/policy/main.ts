import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { DeploymentName } from './deployments.js';
import type { ResultRow } from './report/resultRow.js';
import type { PolicyName } from './policies.js';
import type { ScenarioName } from './scenarios.js';

import { measureCapacity } from './capacity.js';
import { deploymentNames, deployments } from './deployments.js';
import { policyNames } from './policies.js';
import { drawPlots } from './report/drawPlots.js';
import { formatTable } from './report/formatTable.js';
import { runExperiment } from './runExperiment.js';
import { createScenario, runLengths, scenarioNames } from './scenarios.js';

const command = yargs(hideBin(process.argv))
  .scriptName('policy-experiments')
  .usage('$0: runs the scheduling policies on virtual time; the same seeds give the same figures')
  .strict()
  .options({
    deployment: { choices: deploymentNames, describe: 'shape of the fleet; utility by default' },
    plots: { describe: 'directory that gets the plots', type: 'string' },
    policies: {
      default: 'naive,ours',
      describe: `policies, separated by commas, or "all": ${policyNames.join(', ')}`,
      type: 'string',
    },
    quick: { default: false, describe: 'runs of a third of the length', type: 'boolean' },
    scenarios: {
      default: 'all',
      describe: `scenarios, separated by commas, or "all": ${scenarioNames.join(', ')}`,
      type: 'string',
    },
    seeds: { default: 3, describe: 'number of seeds, from 1', type: 'number' },
    slowdown: { default: true, describe: 'run each workspace alone too', type: 'boolean' },
  });

function select<Name extends string>(text: string, names: readonly Name[]): readonly Name[] {
  const wanted = text.split(',').map(part => part.trim());
  const unknown = wanted.filter(part => part !== 'all' && !names.some(name => name === part));
  if (unknown.length > 0) {
    throw new Error(`unknown: ${unknown.join(', ')}; known are: ${names.join(', ')}`);
  }
  return names.filter(name => wanted.includes('all') || wanted.includes(name));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** What one call of the command runs. */
interface Selection {
  readonly deployment: DeploymentName;
  readonly isQuick: boolean;
  readonly policies: readonly PolicyName[];
  readonly scenarios: readonly ScenarioName[];
  readonly seeds: number;
  readonly comparesAlone: boolean;
}

function runAll(selection: Selection): readonly ResultRow[] {
  const capacity = measureCapacity();
  const length = selection.isQuick ? runLengths.quick : runLengths.full;
  const deployment = deployments[selection.deployment];
  const seeds = Array.from({ length: selection.seeds }, (_, index) => index + 1);
  print(
    `deployment ${deployment.name}, seeds ${seeds.join(' ')}, arrivals over ${length.arrivals / 1_000} s; one engine ` +
      `${capacity.callsPerSecond.toFixed(2)} calls/s, ${capacity.callsPerProgram.toFixed(2)} calls a program`,
  );
  return selection.scenarios.flatMap(name => {
    const scenario = createScenario(name, capacity, length);
    return selection.policies.map(policy => {
      const { comparesAlone } = selection;
      const runs = seeds.map(seed =>
        runExperiment({ comparesAlone, deployment, length, policy, scenario, seed }),
      );
      return { policy, runs, scenario: name };
    });
  });
}

const options = command.parseSync();
const rows = runAll({
  comparesAlone: options.slowdown,
  deployment: options.deployment ?? 'utility',
  isQuick: options.quick,
  policies: select(options.policies, policyNames),
  scenarios: select(options.scenarios, scenarioNames),
  seeds: options.seeds,
});
print(formatTable(rows));
if (options.plots !== undefined) {
  mkdirSync(options.plots, { recursive: true });
  for (const { name, svg } of drawPlots(rows)) {
    writeFileSync(join(options.plots, name), svg);
  }
}
