import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Outcome of a request in the metrics. */
export type RequestEnd = 'aborted' | 'caller-left' | 'cut' | 'interrupted' | 'refused' | 'served';

/** Outcome of an attempt at a replica in the metrics. */
export type AttemptEndLabel = 'lost' | 'not-run' | 'served';

/** Bounds of the latency histograms, in seconds: from a call within an availability zone to the longest route timeout. */
const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5];

/**
 * Counters and histograms of an instance, served as text at its metrics address.
 *
 * @example
 * metrics.requests.inc({ end: 'served', kind: 'none' });
 */
export class GatewayMetrics {
  public readonly registry = new Registry();
  /** Requests by outcome and by the kind of the error that refused them; `none` for other outcomes. */
  public readonly requests = new Counter({
    help: 'Requests by how they ended and why.',
    labelNames: ['end', 'kind'] as const,
    name: 'zincring_requests_total',
    registers: [this.registry],
  });
  public readonly requestSeconds = new Histogram({
    buckets: LATENCY_BUCKETS,
    help: 'Time from the headers of a request to the end of its answer.',
    labelNames: ['end'] as const,
    name: 'zincring_request_seconds',
    registers: [this.registry],
  });
  public readonly attempts = new Counter({
    help: 'Attempts at replicas by service and end.',
    labelNames: ['service', 'end'] as const,
    name: 'zincring_attempts_total',
    registers: [this.registry],
  });
  public readonly foreignResponses = new Counter({
    help: 'Responses of replicas that answer another request than the one in progress, by kind: refusal or answer.',
    labelNames: ['service', 'kind'] as const,
    name: 'zincring_foreign_responses_total',
    registers: [this.registry],
  });
  /** Turns that did not start a program at once because the engines were busy. */
  public readonly admissions = new Counter({
    help: 'Decisions on program starts that were held, by reason and priority.',
    labelNames: ['decision', 'reason', 'priority'] as const,
    name: 'zincring_admissions_total',
    registers: [this.registry],
  });
  public readonly permits = new Counter({
    help: 'Permits asked for to send a request to a replica that limits its rate.',
    labelNames: ['outcome'] as const,
    name: 'zincring_permits_total',
    registers: [this.registry],
  });
  public readonly regionRefusals = new Counter({
    help: 'Requests that may be sent to certain regions only and for which no replica was left.',
    name: 'zincring_region_refusals_total',
    registers: [this.registry],
  });
  public readonly relays = new Counter({
    help: 'Attempts at replicas through another instance by outcome.',
    labelNames: ['outcome'] as const,
    name: 'zincring_relays_total',
    registers: [this.registry],
  });
  public readonly inFlight = new Gauge({
    help: 'Requests in flight, by what counts them: callers, replicas, engines or relays.',
    labelNames: ['counter'] as const,
    name: 'zincring_in_flight',
    registers: [this.registry],
  });
  public readonly connections = new Gauge({
    help: 'Open connections of clients, by the listener that they connected to.',
    labelNames: ['listener'] as const,
    name: 'zincring_connections',
    registers: [this.registry],
  });
  public readonly waitingConnections = new Gauge({
    help: 'Connections of clients with bytes that wait for their turn, by listener.',
    labelNames: ['listener'] as const,
    name: 'zincring_waiting_connections',
    registers: [this.registry],
  });
  public readonly pacedBytes = new Counter({
    help: 'Bytes beyond those of ordinary requests and responses, which pass at a bounded rate.',
    name: 'zincring_paced_bytes_total',
    registers: [this.registry],
  });
  public readonly turnBytes = new Counter({
    help: 'Bytes of responses that are larger or faster than ordinary ones, which are read in turns.',
    name: 'zincring_response_turn_bytes_total',
    registers: [this.registry],
  });
  public readonly floods = new Counter({
    help: 'Responses of which more than 2 MB were read in turns, by service.',
    labelNames: ['service'] as const,
    name: 'zincring_response_floods_total',
    registers: [this.registry],
  });
  public readonly closedConnections = new Counter({
    help: 'Connections of clients that were closed because of what they take up, by listener and reason.',
    labelNames: ['listener', 'reason'] as const,
    name: 'zincring_closed_connections_total',
    registers: [this.registry],
  });
  public readonly heldBytes = new Gauge({
    help: 'Bytes of requests and responses that this instance holds.',
    name: 'zincring_held_bytes',
    registers: [this.registry],
  });
  public readonly unreadResponses = new Counter({
    help: 'Responses that were closed because their callers did not read them.',
    name: 'zincring_unread_responses_total',
    registers: [this.registry],
  });
  public readonly admissionSeconds = new Histogram({
    buckets: LATENCY_BUCKETS,
    help: 'Time from the headers of a request to its first attempt.',
    name: 'zincring_admission_seconds',
    registers: [this.registry],
  });
  public readonly storeCalls = new Counter({
    help: 'Calls to the store by kind, table and outcome: answered, conflict, rate-limited or failed.',
    labelNames: ['call', 'table', 'outcome'] as const,
    name: 'zincring_store_calls_total',
    registers: [this.registry],
  });
  public readonly storeSeconds = new Histogram({
    buckets: LATENCY_BUCKETS,
    help: 'Time of transactions and reads of the store.',
    labelNames: ['call'] as const,
    name: 'zincring_store_seconds',
    registers: [this.registry],
  });
  public readonly learnedMilliseconds = new Gauge({
    help: 'What a call, a turn and a prompt token take at a service, as learned, in milliseconds.',
    labelNames: ['service', 'of'] as const,
    name: 'zincring_learned_milliseconds',
    registers: [this.registry],
  });
  public readonly slowReplicas = new Gauge({
    help: 'Replicas of a service that are judged slow.',
    labelNames: ['service'] as const,
    name: 'zincring_slow_replicas',
    registers: [this.registry],
  });

  /** Renders the metrics in the Prometheus text format. */
  public async render(): Promise<string> {
    return await this.registry.metrics();
  }
}
