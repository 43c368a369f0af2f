import hotShots from 'hot-shots';

import type { CounterName, GaugeName, TagsOf, TimingName } from './metricTable.js';

/** Tags of any metric, such as `{ zone: 'nelson' }`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records measurements under the names of the metric table. */
export interface Metrics {
  /** Adds to a counter. */
  increment<Name extends CounterName>(name: Name, amount?: number, tags?: TagsOf<Name>): void;
  /** Sets a gauge. */
  gauge(name: GaugeName, value: number): void;
  /** Records a duration in milliseconds. */
  timing<Name extends TimingName>(name: Name, milliseconds: number, tags?: TagsOf<Name>): void;
  /** Sends buffered measurements and closes the socket. */
  close(): void;
}

/** Metrics that discard every measurement. */
export const discardingMetrics: Metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => undefined,
};

/** Options of {@link createStatsdMetrics}. */
export interface StatsdOptions {
  /** IP address of the StatsD agent. */
  readonly host: string;
  /** UDP port of the StatsD agent. */
  readonly port: number;
  /** Tags added to every metric. */
  readonly tags: MetricTags;
}

/**
 * Creates metrics that are sent to a StatsD agent over UDP, with the prefix `zincring.`.
 *
 * @example
 * const metrics = createStatsdMetrics({ host: '127.0.0.1', port: 8125, tags: { zone: 'nelson' } });
 */
export function createStatsdMetrics(options: StatsdOptions): Metrics {
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port,
    prefix: 'zincring.',
    globalTags: { ...options.tags },
    errorHandler: () => undefined,
    maxBufferSize: 1_400,
  });
  return {
    increment: (name, amount = 1, tags) => {
      client.increment(name, amount, omitUndefinedTags(tags));
    },
    gauge: (name, value) => {
      client.gauge(name, value);
    },
    timing: (name, milliseconds, tags) => {
      client.timing(name, milliseconds, omitUndefinedTags(tags));
    },
    close: () => {
      client.close(() => undefined);
    },
  };
}

/** Copies the tags that have a value. */
function omitUndefinedTags(
  tags: Readonly<Partial<MetricTags>> | undefined,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(tags ?? {}).flatMap(([name, value]) =>
      value === undefined ? [] : [[name, value]],
    ),
  );
}
