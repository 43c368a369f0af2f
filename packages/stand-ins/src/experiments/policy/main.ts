import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { DeploymentName } from './deployments.js';
import type { ResultRow } from './report/resultRow.js';
import type { PolicyName } from './policies.js';
import type { ScenarioName } from './scenarios.js';

import { measureCapacity } from './capacity.js';
import { deploymentNames } from './deployments.js';
import { policyNames } from './policies.js';
import { drawPlots } from './report/drawPlots.js';
import { formatTable } from './report/formatTable.js';
import { runJobs } from './runJobs.js';
import { runLengths, scenarioNames } from './scenarios.js';

const MILLISECONDS_PER_SECOND = 1_000;

const command = yargs(hideBin(process.argv))
  .scriptName('policy-experiments')
  .usage('$0: runs the scheduling policies on virtual time; the same seeds give the same results')
  .strict()
  .options({
    deployment: {
      choices: deploymentNames,
      describe: 'deployment to simulate; utility by default',
    },
    plots: { describe: 'directory to which the plots are written', type: 'string' },
    policies: {
      default: 'naive,ours',
      describe: `policies, separated by commas, or "all": ${policyNames.join(', ')}`,
      type: 'string',
    },
    quick: { default: false, describe: 'run for a third of the full length', type: 'boolean' },
    scenarios: {
      default: 'all',
      describe: `scenarios, separated by commas, or "all": ${scenarioNames.join(', ')}`,
      type: 'string',
    },
    seeds: { default: 3, describe: 'number of seeds, from 1', type: 'number' },
    threads: { default: 4, describe: 'number of threads that run experiments', type: 'number' },
    slowdown: {
      default: true,
      describe: 'also run each workspace alone, to measure its slowdown',
      type: 'boolean',
    },
  });

function selectNames<Name extends string>(text: string, names: readonly Name[]): readonly Name[] {
  const requestedNames = text.split(',').map(item => item.trim());
  const unknownNames = requestedNames.filter(
    item => item !== 'all' && !names.some(name => name === item),
  );
  if (unknownNames.length > 0) {
    throw new Error(`unknown name: ${unknownNames.join(', ')}; known names: ${names.join(', ')}`);
  }
  return names.filter(name => requestedNames.includes('all') || requestedNames.includes(name));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs that one invocation of the command makes. */
interface Selection {
  readonly deployment: DeploymentName;
  readonly isQuick: boolean;
  readonly policies: readonly PolicyName[];
  readonly scenarios: readonly ScenarioName[];
  readonly seeds: number;
  readonly measuresSlowdown: boolean;
  readonly threads: number;
}

async function runAll(selection: Selection): Promise<readonly ResultRow[]> {
  const { measuresSlowdown, deployment, isQuick, policies, scenarios, threads } = selection;
  const seeds = Array.from({ length: selection.seeds }, (_, index) => index + 1);
  const combinations = scenarios.flatMap(scenario =>
    policies.map(policy => ({ policy, scenario })),
  );
  const jobs = combinations.flatMap(combination =>
    seeds.map(seed => ({ ...combination, measuresSlowdown, deployment, isQuick, seed })),
  );
  const results = await runJobs(jobs, threads);
  return combinations.map((combination, index) => ({
    ...combination,
    runs: results.slice(index * seeds.length, (index + 1) * seeds.length),
  }));
}

const options = command.parseSync();
const capacity = measureCapacity();
const length = options.quick ? runLengths.quick : runLengths.full;
print(
  `one engine: ${capacity.callsPerSecond.toFixed(2)} calls/s; a program: ` +
    `${capacity.callsPerProgram.toFixed(2)} calls; seeds 1 to ${options.seeds}; ` +
    `programs arrive over ${length.arrivalMilliseconds / MILLISECONDS_PER_SECOND} s`,
);
const rows = await runAll({
  measuresSlowdown: options.slowdown,
  deployment: options.deployment ?? 'utility',
  isQuick: options.quick,
  policies: selectNames(options.policies, policyNames),
  scenarios: selectNames(options.scenarios, scenarioNames),
  seeds: options.seeds,
  threads: options.threads,
});
print(formatTable(rows));
if (options.plots !== undefined) {
  mkdirSync(options.plots, { recursive: true });
  for (const { name, svg } of drawPlots(rows)) {
    writeFileSync(join(options.plots, name), svg);
  }
}
