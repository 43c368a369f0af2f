import type { PolicyName } from '../policies.js';
import type { ExperimentFigures } from '../runExperiment.js';
import type { ResultRow } from './resultRow.js';

import { spreadOf } from './resultRow.js';

/** A plot that is ready to be written to a file. */
export interface Plot {
  /** Name of the file. */
  readonly name: string;
  readonly svg: string;
}

interface PlotSubject {
  readonly name: string;
  readonly title: string;
  readonly figure: keyof ExperimentFigures;
  readonly target: number | undefined;
}

const subjects: readonly PlotSubject[] = [
  {
    figure: 'programP95',
    name: 'program-p95.svg',
    target: undefined,
    title: 'Program latency, p95, s',
  },
  {
    figure: 'worstSlowdown',
    name: 'worst-slowdown.svg',
    target: 1.3,
    title: 'Worst-served workspace, latency over alone',
  },
  {
    figure: 'computedRatio',
    name: 'computed-ratio.svg',
    target: 1.15,
    title: 'Prompt tokens computed over ideal',
  },
  {
    figure: 'firstTokenP95',
    name: 'first-token-p95.svg',
    target: 1.2,
    title: 'First token, p95, s',
  },
];

const colours = [
  '#b5483a',
  '#2f6f9f',
  '#6a994e',
  '#8e6bbf',
  '#c7842b',
  '#4a8f8c',
  '#7d7d7d',
  '#a3527d',
];
const WIDTH = 900;
const LABEL_WIDTH = 190;
const BAR_HEIGHT = 14;
const GROUP_GAP = 12;
const TOP = 66;
const VALUE_WIDTH = 150;
/** Values below this are drawn as this, since the scale is logarithmic. */
const SMALLEST_VALUE = 0.01;

/**
 * Draws one bar chart for each main figure, on a logarithmic scale, with the spread over the seeds.
 *
 * @example
 * for (const { name, svg } of drawPlots(rows)) writeFileSync(name, svg);
 */
export function drawPlots(rows: readonly ResultRow[]): readonly Plot[] {
  return subjects.map(subject => ({ name: subject.name, svg: drawPlot(subject, rows) }));
}

function drawPlot(subject: PlotSubject, rows: readonly ResultRow[]): string {
  const scenarios = [...new Set(rows.map(row => row.scenario))];
  const policies = [...new Set(rows.map(row => row.policy))];
  const scale = createScale(rows, subject);
  const groupHeight = policies.length * BAR_HEIGHT + GROUP_GAP;
  const height = TOP + scenarios.length * groupHeight + 10;
  const bars = rows.map(row => {
    const group = scenarios.indexOf(row.scenario);
    const line = policies.indexOf(row.policy);
    const top = TOP + group * groupHeight + line * BAR_HEIGHT;
    return drawBar(row, subject, { colour: colours[line % colours.length] ?? '', scale, top });
  });
  const labels = scenarios.map((name, group) =>
    text(8, TOP + group * groupHeight + (policies.length * BAR_HEIGHT) / 2 + 4, name),
  );
  const target =
    subject.target === undefined
      ? ''
      : `<line x1="${scale(subject.target)}" x2="${scale(subject.target)}" y1="${TOP - 6}" ` +
        `y2="${height - 8}" stroke="#222" stroke-dasharray="4 3"/>` +
        text(scale(subject.target) + 4, TOP - 8, `target ${subject.target}`);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" ` +
      'font-family="sans-serif" font-size="11">',
    `<rect width="${WIDTH}" height="${height}" fill="#fff"/>`,
    `<text x="8" y="20" font-size="15">${subject.title} (logarithmic)</text>`,
    drawLegend(policies),
    ...labels,
    ...bars,
    target,
    '</svg>\n',
  ].join('\n');
}

type Scale = (value: number) => number;

function createScale(rows: readonly ResultRow[], { figure, target }: PlotSubject): Scale {
  const values = rows
    .flatMap(row => [spreadOf(row, figure).lowest, spreadOf(row, figure).highest])
    .filter(value => Number.isFinite(value));
  const low = Math.max(SMALLEST_VALUE, Math.min(...values, target ?? Infinity)) / 1.5;
  const high = Math.max(...values, target ?? 0, low * 2);
  const width = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
  return value =>
    Math.round(LABEL_WIDTH + (width * Math.log(Math.max(low, value) / low)) / Math.log(high / low));
}

interface BarPlace {
  readonly colour: string;
  readonly scale: Scale;
  readonly top: number;
}

function drawBar(
  row: ResultRow,
  { figure }: PlotSubject,
  { colour, scale, top }: BarPlace,
): string {
  const { highest, lowest, mean } = spreadOf(row, figure);
  if (Number.isNaN(mean)) {
    return text(LABEL_WIDTH + 4, top + 10, 'not measured');
  }
  const middle = top + BAR_HEIGHT / 2;
  return [
    `<rect x="${LABEL_WIDTH}" y="${top + 1}" width="${Math.max(1, scale(mean) - LABEL_WIDTH)}" ` +
      `height="${BAR_HEIGHT - 3}" fill="${colour}"/>`,
    `<line x1="${scale(lowest)}" x2="${scale(highest)}" y1="${middle}" y2="${middle}" stroke="#000"/>`,
    text(
      scale(highest) + 5,
      top + 11,
      `${mean.toFixed(2)} (${lowest.toFixed(2)}..${highest.toFixed(2)})`,
    ),
  ].join('\n');
}

function drawLegend(policies: readonly PolicyName[]): string {
  return policies
    .map((name, index) => {
      const x = 8 + (index % 4) * 220;
      const y = 28 + Math.floor(index / 4) * 14;
      const colour = colours[index % colours.length] ?? '';
      return `<rect x="${x}" y="${y}" width="10" height="10" fill="${colour}"/>${text(x + 14, y + 9, name)}`;
    })
    .join('\n');
}

function text(x: number, y: number, content: string): string {
  return `<text x="${x}" y="${y}">${content}</text>`;
}
