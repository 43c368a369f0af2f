import type { ExperimentResult } from '../runExperiment.js';
import type { ResultRow } from './resultRow.js';

import { summariseMetric } from './resultRow.js';

/** Column of the table: a metric and its format. */
interface Column {
  readonly title: string;
  readonly metric: keyof ExperimentResult;
  readonly digits: number;
  /** Factor by which the value is multiplied, such as for per cent. */
  readonly scale: number;
}

const columns: readonly Column[] = [
  { digits: 1, metric: 'programP50', scale: 1, title: 'program p50 s' },
  { digits: 1, metric: 'programP95', scale: 1, title: 'p95 s' },
  { digits: 1, metric: 'programP99', scale: 1, title: 'p99 s' },
  { digits: 1, metric: 'recomputedShare', scale: 100, title: 'again %' },
  { digits: 2, metric: 'computedRatio', scale: 1, title: 'computed/ideal' },
  { digits: 2, metric: 'worstSlowdown', scale: 1, title: 'worst slowdown' },
  { digits: 2, metric: 'worstSlowdownP95', scale: 1, title: 'worst of p95' },
  { digits: 0, metric: 'refusalsWithinRate', scale: 1, title: 'refusals' },
  { digits: 2, metric: 'queueWaitP95', scale: 1, title: 'queue p95 s' },
  { digits: 2, metric: 'firstTokenP50', scale: 1, title: 'first token p50 s' },
  { digits: 2, metric: 'firstTokenP95', scale: 1, title: 'p95 s' },
  { digits: 0, metric: 'betweenTokensP95', scale: 1_000, title: 'between p95 ms' },
  { digits: 0, metric: 'unfinished', scale: 1, title: 'unfinished' },
];

/**
 * Formats results as a table in Markdown: the mean over the seeds, with the lowest and the highest
 * in brackets where they differ.
 *
 * @example
 * process.stdout.write(formatTable(rows));
 */
export function formatTable(rows: readonly ResultRow[]): string {
  const header = ['scenario', 'policy', ...columns.map(({ title }) => title)];
  const lines = rows.map(row => [
    row.scenario,
    row.policy,
    ...columns.map(column => formatMetric(row, column)),
  ]);
  const divider = header.map(() => '---');
  return [header, divider, ...lines].map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

function formatMetric(row: ResultRow, { digits, metric, scale }: Column): string {
  const { highest, lowest, mean } = summariseMetric(row, metric);
  if (Number.isNaN(mean)) {
    return '-';
  }
  const [low, middle, high] = [lowest, mean, highest].map(value => (value * scale).toFixed(digits));
  return low === high ? (middle ?? '') : `${middle ?? ''} (${low ?? ''}..${high ?? ''})`;
}
