import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { BucketSize } from '@zincring/coordination';

import type { ScenarioResult } from './runScenario.js';

import { mechanismNames, seatTerms } from './mechanisms.js';
import { runScenario } from './runScenario.js';
import { scenarios } from './scenarios.js';

const limits: ReadonlyMap<string, BucketSize> = new Map([
  ['large', { burst: 80, rate: 40 }],
  ['medium', { burst: 20, rate: 10 }],
  ['small', { burst: 2, rate: 1 }],
  ['single', { burst: 1, rate: 2 }],
]);

const COLUMN_WIDTHS = [20, 13, 9, 9, 11, 13, 12, 11, 11] as const;
const HEADINGS = [
  'scenario',
  'mechanism',
  'requests',
  'granted',
  'over bound',
  'wrong refusal',
  'lost grants',
  'wait ms',
  'messages/s',
  'table ops/s',
] as const;

function formatLine(cells: readonly string[]): string {
  return cells.map((cell, index) => cell.padEnd(COLUMN_WIDTHS[index] ?? 0)).join(' ');
}

function formatPercentage(count: number, total: number): string {
  return `${((count / Math.max(1, total)) * 100).toFixed(2)} %`;
}

function formatResult(scenario: string, mechanism: string, result: ScenarioResult): string {
  const lostGrants = Math.max(0, result.grantedByReference - result.granted);
  return formatLine([
    scenario,
    mechanism,
    String(result.requests),
    String(result.granted),
    String(result.overBound),
    formatPercentage(result.wronglyRefused, result.requests),
    formatPercentage(lostGrants, result.grantedByReference),
    result.meanWaitMilliseconds.toFixed(1),
    result.messagesPerSecond.toFixed(1),
    result.tableOperationsPerSecond.toFixed(2),
  ]);
}

const options = await yargs(hideBin(process.argv))
  .scriptName('limits')
  .strict()
  .option('seed', { default: 1, describe: 'seed of every scenario run', type: 'number' })
  .option('instances', { default: 13, describe: 'number of instances', type: 'number' })
  .option('scenario', {
    describe: 'run only scenarios whose name contains this text',
    type: 'string',
  })
  .option('seat-term-minutes', { default: 30, describe: 'term of seat leases', type: 'number' })
  .parse();

process.stdout.write(`seed ${options.seed}, ${options.instances} instances\n`);
process.stdout.write(`${formatLine(HEADINGS)}\n`);
for (const scenario of scenarios) {
  if (options.scenario !== undefined && !scenario.name.includes(options.scenario)) {
    continue;
  }
  for (const mechanism of mechanismNames) {
    const result = await runScenario({
      instances: options.instances,
      limits,
      mechanism,
      scenario,
      seatTerms: { ...seatTerms, termMilliseconds: options.seatTermMinutes * 60_000 },
      seed: options.seed,
    });
    process.stdout.write(`${formatResult(scenario.name, mechanism, result)}\n`);
  }
}
