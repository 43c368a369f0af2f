import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import type { Benchmark, BenchmarkResult } from './benchmark.js';

import { ChooserBenchmark } from './chooserBenchmark.js';
import { GossipBenchmark } from './gossipBenchmark.js';
import { QueueBenchmark } from './queueBenchmark.js';
import { RetryBenchmark } from './retryBenchmark.js';
import { SchedulerBenchmark } from './schedulerBenchmark.js';

setFlagsFromString('--expose-gc');
globalThis.gc = runInNewContext('gc') as typeof globalThis.gc;

const benchmarks: readonly Benchmark[] = [
  new QueueBenchmark(),
  new ChooserBenchmark(),
  new SchedulerBenchmark(),
  new RetryBenchmark(),
  new GossipBenchmark(),
];

const columnTitles = [
  'operation',
  'against',
  'size',
  'ns',
  'bytes allocated',
  'bytes kept per unit',
];

function formatRow({
  cost,
  dimension,
  retainedBytesPerUnit,
  operation,
  size,
}: BenchmarkResult): string {
  const cells = [
    operation,
    dimension,
    size,
    cost.nanoseconds.toFixed(0),
    cost.allocatedBytes.toFixed(0),
    retainedBytesPerUnit?.toFixed(0) ?? '-',
  ];
  return `| ${cells.join(' | ')} |`;
}

process.stdout.write(
  `| ${columnTitles.join(' | ')} |\n| ${columnTitles.map(() => '---').join(' | ')} |\n`,
);
for (const benchmark of benchmarks) {
  for (const result of benchmark.run()) {
    process.stdout.write(`${formatRow(result)}\n`);
  }
}
