import hotShots from 'hot-shots';

/** Tags of a metric, such as `{ service: 'minutes-llm' }`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where measurements go; docs/OPERATORS.md lists the names. */
export interface Metrics {
  /** Adds to a counter. */
  increment(name: string, amount?: number, tags?: MetricTags): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, milliseconds: number, tags?: MetricTags): void;
  /** Sends what is buffered and closes the socket. */
  close(): void;
}

/** Drops every measurement. */
export const discardingMetrics: Metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => undefined,
};

/** Where the metrics of a process are sent. */
export interface StatsdOptions {
  /** IP number of the StatsD agent. */
  readonly host: string;
  /** UDP port of the StatsD agent. */
  readonly port: number;
  /** Tags added to every metric. */
  readonly tags: MetricTags;
}

/**
 * Sends measurements over UDP by hot-shots, with the prefix `zincring.`.
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
    increment: (name, amount = 1, tags = {}) => {
      client.increment(name, amount, { ...tags });
    },
    gauge: (name, value, tags = {}) => {
      client.gauge(name, value, { ...tags });
    },
    timing: (name, milliseconds, tags = {}) => {
      client.timing(name, milliseconds, { ...tags });
    },
    close: () => {
      client.close(() => undefined);
    },
  };
}
