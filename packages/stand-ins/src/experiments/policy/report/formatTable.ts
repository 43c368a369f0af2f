import type { ExperimentFigures } from '../runExperiment.js';
import type { ResultRow } from './resultRow.js';

import { spreadOf } from './resultRow.js';

/** How a figure is shown. */
interface Column {
  readonly title: string;
  readonly figure: keyof ExperimentFigures;
  readonly digits: number;
  /** What the figure is multiplied by, as for per cent. */
  readonly scale: number;
}

const columns: readonly Column[] = [
  { digits: 1, figure: 'programP50', scale: 1, title: 'program p50 s' },
  { digits: 1, figure: 'programP95', scale: 1, title: 'p95 s' },
  { digits: 1, figure: 'programP99', scale: 1, title: 'p99 s' },
  { digits: 1, figure: 'recomputedShare', scale: 100, title: 'again %' },
  { digits: 2, figure: 'computedRatio', scale: 1, title: 'computed/ideal' },
  { digits: 2, figure: 'worstSlowdown', scale: 1, title: 'worst slowdown' },
  { digits: 2, figure: 'worstSlowdownP95', scale: 1, title: 'worst of p95' },
  { digits: 0, figure: 'refusalsWithinRate', scale: 1, title: 'refusals' },
  { digits: 2, figure: 'queueWaitP95', scale: 1, title: 'queue p95 s' },
  { digits: 2, figure: 'firstTokenP50', scale: 1, title: 'first token p50 s' },
  { digits: 2, figure: 'firstTokenP95', scale: 1, title: 'p95 s' },
  { digits: 0, figure: 'betweenTokensP95', scale: 1_000, title: 'between p95 ms' },
  { digits: 0, figure: 'unfinished', scale: 1, title: 'unfinished' },
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
    ...columns.map(column => formatFigure(row, column)),
  ]);
  const divider = header.map(() => '---');
  return [header, divider, ...lines].map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

function formatFigure(row: ResultRow, { digits, figure, scale }: Column): string {
  const { highest, lowest, mean } = spreadOf(row, figure);
  if (Number.isNaN(mean)) {
    return '-';
  }
  const [low, middle, high] = [lowest, mean, highest].map(value => (value * scale).toFixed(digits));
  return low === high ? (middle ?? '') : `${middle ?? ''} (${low ?? ''}..${high ?? ''})`;
}
