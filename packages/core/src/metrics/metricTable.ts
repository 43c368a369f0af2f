/** StatsD type of a metric. */
export type MetricType = 'counter' | 'gauge' | 'timing';

/** Description of one metric. */
export interface MetricDescriptor {
  readonly type: MetricType;
  /** Unit of the value. */
  readonly unit: string;
  /** Names of the tags that the metric may carry. */
  readonly tags: readonly string[];
  /** Explanation for operators. */
  readonly text: string;
}

/**
 * All metrics; no other name can be sent. docs/operators/metrics.md contains the same table. Names
 * are sent with the prefix `zincring.`.
 */
export const metricTable = {
  'calls.active': {
    type: 'gauge',
    unit: 'calls',
    tags: [],
    text: 'Calls that wait or run at this instance.',
  },
  'calls.duration': {
    type: 'timing',
    unit: 'milliseconds',
    tags: ['service'],
    text: 'Time from the arrival of a call to the end of its answer.',
  },
  'calls.finished': {
    type: 'counter',
    unit: 'calls',
    tags: ['service', 'outcome'],
    text: 'Calls answered, by service and outcome.',
  },
  'configuration.blocked_version': {
    type: 'gauge',
    unit: 'version',
    tags: [],
    text: 'Version that this instance cannot take up; 0 for none.',
  },
  'configuration.version': {
    type: 'gauge',
    unit: 'version',
    tags: [],
    text: 'Version of the rules in force.',
  },
  'drain.duration': {
    type: 'timing',
    unit: 'milliseconds',
    tags: [],
    text: 'Time of a graceful shutdown.',
  },
  'engine_memory.dropped': {
    type: 'counter',
    unit: 'orders',
    tags: [],
    text: 'Orders to release engine memory that were dropped because too many waited.',
  },
  'engine_memory.released': {
    type: 'counter',
    unit: 'orders',
    tags: [],
    text: 'Orders to release engine memory that were confirmed.',
  },
  'leases.held': {
    type: 'gauge',
    unit: 'shards',
    tags: [],
    text: 'Shards held by this instance.',
  },
  'limits.granted': {
    type: 'counter',
    unit: 'requests',
    tags: ['workspace'],
    text: 'Requests admitted under the rate of a workspace.',
  },
  'limits.refused': {
    type: 'counter',
    unit: 'requests',
    tags: ['workspace'],
    text: 'Requests refused by the rate of a workspace.',
  },
  'limits.seats': {
    type: 'gauge',
    unit: 'seats',
    tags: [],
    text: 'Seats of the rate limits that this instance holds.',
  },
  'log.pending': {
    type: 'gauge',
    unit: 'records',
    tags: [],
    text: 'Records of the write-ahead log that are not durable yet.',
  },
  'peers.alive': {
    type: 'gauge',
    unit: 'instances',
    tags: [],
    text: 'Other instances heard of lately.',
  },
  'programs.open': {
    type: 'gauge',
    unit: 'programs',
    tags: [],
    text: 'Programs whose home is this instance.',
  },
  'queue.duration': {
    type: 'timing',
    unit: 'milliseconds',
    tags: ['service'],
    text: 'Time that a call waited before it was sent to an upstream.',
  },
  'upstream.retries': {
    type: 'counter',
    unit: 'calls',
    tags: ['service'],
    text: 'Calls sent a second time to an upstream.',
  },
  'upstream.tokens_cached': {
    type: 'counter',
    unit: 'tokens',
    tags: ['service'],
    text: 'Prompt tokens that an engine had in its cache.',
  },
  'upstream.tokens_computed': {
    type: 'counter',
    unit: 'tokens',
    tags: ['service'],
    text: 'Prompt tokens that an engine had to compute.',
  },
} as const satisfies Readonly<Record<string, MetricDescriptor>>;

type MetricTable = typeof metricTable;
type NameOfType<Type extends MetricType> = {
  [Name in keyof MetricTable]: MetricTable[Name]['type'] extends Type ? Name : never;
}[keyof MetricTable];

/** Names of the counters. */
export type CounterName = NameOfType<'counter'>;
/** Names of the gauges. */
export type GaugeName = NameOfType<'gauge'>;
/** Names of the timings. */
export type TimingName = NameOfType<'timing'>;
/** Names of all metrics. */
export type MetricName = keyof MetricTable;

/** Tags that one metric may carry, such as `{ service: 'minutes-llm' }`. */
export type TagsOf<Name extends MetricName> = Readonly<
  Partial<Record<MetricTable[Name]['tags'][number], string>>
>;

/** Names of all metrics, in the order of the table. */
export const allMetricNames = Object.keys(metricTable) as readonly MetricName[];

/**
 * Returns the description of a metric.
 *
 * @example
 * describeMetric('queue.duration').unit; // 'milliseconds'
 */
export function describeMetric(name: MetricName): MetricDescriptor {
  return metricTable[name];
}
