import type { PolicyName } from '../policies.js';
import type { ExperimentResult } from '../runExperiment.js';
import type { ResultRow } from './resultRow.js';

import { summariseMetric } from './resultRow.js';

/** A plot in the form in which it is written to a file. */
export interface Plot {
  /** Name of the file. */
  readonly name: string;
  readonly svg: string;
}

interface PlotDefinition {
  readonly name: string;
  readonly title: string;
  readonly metric: keyof ExperimentResult;
  readonly target: number | undefined;
}

const plotDefinitions: readonly PlotDefinition[] = [
  {
    metric: 'programP95',
    name: 'program-p95.svg',
    target: undefined,
    title: 'Program latency, p95, s',
  },
  {
    metric: 'worstSlowdown',
    name: 'worst-slowdown.svg',
    target: 1.3,
    title: 'Worst-served workspace, latency over alone',
  },
  {
    metric: 'computedRatio',
    name: 'computed-ratio.svg',
    target: 1.15,
    title: 'Prompt tokens computed over ideal',
  },
  {
    metric: 'firstTokenP95',
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
const SCENARIO_LABEL_WIDTH = 190;
const BAR_HEIGHT = 14;
const GROUP_GAP = 12;
const TOP_MARGIN = 66;
const VALUE_LABEL_WIDTH = 150;
/** Smaller values are drawn as this one, since the scale is logarithmic. */
const MINIMUM_VALUE = 0.01;

/**
 * Draws one bar chart for each main metric, on a logarithmic scale, with the range over the seeds.
 *
 * @example
 * for (const { name, svg } of drawPlots(rows)) writeFileSync(name, svg);
 */
export function drawPlots(rows: readonly ResultRow[]): readonly Plot[] {
  return plotDefinitions.map(definition => ({
    name: definition.name,
    svg: drawPlot(definition, rows),
  }));
}

function drawPlot(definition: PlotDefinition, rows: readonly ResultRow[]): string {
  const scenarios = [...new Set(rows.map(row => row.scenario))];
  const policies = [...new Set(rows.map(row => row.policy))];
  const scale = createScale(rows, definition);
  const groupHeight = policies.length * BAR_HEIGHT + GROUP_GAP;
  const height = TOP_MARGIN + scenarios.length * groupHeight + 10;
  const bars = rows.map(row => {
    const scenarioIndex = scenarios.indexOf(row.scenario);
    const policyIndex = policies.indexOf(row.policy);
    const top = TOP_MARGIN + scenarioIndex * groupHeight + policyIndex * BAR_HEIGHT;
    return drawBar(row, definition, {
      colour: colours[policyIndex % colours.length] ?? '',
      scale,
      top,
    });
  });
  const labels = scenarios.map((name, scenarioIndex) =>
    drawText(
      8,
      TOP_MARGIN + scenarioIndex * groupHeight + (policies.length * BAR_HEIGHT) / 2 + 4,
      name,
    ),
  );
  const target =
    definition.target === undefined
      ? ''
      : `<line x1="${scale(definition.target)}" x2="${scale(definition.target)}" y1="${TOP_MARGIN - 6}" ` +
        `y2="${height - 8}" stroke="#222" stroke-dasharray="4 3"/>` +
        drawText(scale(definition.target) + 4, TOP_MARGIN - 8, `target ${definition.target}`);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" ` +
      'font-family="sans-serif" font-size="11">',
    `<rect width="${WIDTH}" height="${height}" fill="#fff"/>`,
    `<text x="8" y="20" font-size="15">${definition.title} (logarithmic)</text>`,
    drawLegend(policies),
    ...labels,
    ...bars,
    target,
    '</svg>\n',
  ].join('\n');
}

type Scale = (value: number) => number;

function createScale(rows: readonly ResultRow[], { metric, target }: PlotDefinition): Scale {
  const values = rows
    .flatMap(row => [summariseMetric(row, metric).lowest, summariseMetric(row, metric).highest])
    .filter(value => Number.isFinite(value));
  const low = Math.max(MINIMUM_VALUE, Math.min(...values, target ?? Infinity)) / 1.5;
  const high = Math.max(...values, target ?? 0, low * 2);
  const width = WIDTH - SCENARIO_LABEL_WIDTH - VALUE_LABEL_WIDTH;
  return value =>
    Math.round(
      SCENARIO_LABEL_WIDTH + (width * Math.log(Math.max(low, value) / low)) / Math.log(high / low),
    );
}

interface BarLayout {
  readonly colour: string;
  readonly scale: Scale;
  readonly top: number;
}

function drawBar(
  row: ResultRow,
  { metric }: PlotDefinition,
  { colour, scale, top }: BarLayout,
): string {
  const { highest, lowest, mean } = summariseMetric(row, metric);
  if (Number.isNaN(mean)) {
    return drawText(SCENARIO_LABEL_WIDTH + 4, top + 10, 'not measured');
  }
  const middle = top + BAR_HEIGHT / 2;
  return [
    `<rect x="${SCENARIO_LABEL_WIDTH}" y="${top + 1}" width="${Math.max(1, scale(mean) - SCENARIO_LABEL_WIDTH)}" ` +
      `height="${BAR_HEIGHT - 3}" fill="${colour}"/>`,
    `<line x1="${scale(lowest)}" x2="${scale(highest)}" y1="${middle}" y2="${middle}" stroke="#000"/>`,
    drawText(
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
      return `<rect x="${x}" y="${y}" width="10" height="10" fill="${colour}"/>${drawText(x + 14, y + 9, name)}`;
    })
    .join('\n');
}

function drawText(x: number, y: number, content: string): string {
  return `<text x="${x}" y="${y}">${content}</text>`;
}
