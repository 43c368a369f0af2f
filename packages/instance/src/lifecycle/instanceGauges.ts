import type { Metrics, TimerService, TimerSubscription } from '@zincring/core';

/** Current values of the gauges of an instance. */
export interface GaugeValues {
  /** Requests of callers in progress. */
  readonly activeCalls: number;
  readonly heldShards: number;
  /** Records of the write-ahead log that are not durable yet. */
  readonly pendingRecords: number;
  readonly alivePeers: number;
  readonly openPrograms: number;
}

/** Options of {@link InstanceGauges}. */
export interface InstanceGaugesOptions {
  readonly metrics: Metrics;
  readonly timers: TimerService;
  readonly readValues: () => GaugeValues;
}

const SEND_INTERVAL_MILLISECONDS = 10_000;

/** Sends the gauges of an instance periodically. */
export class InstanceGauges {
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: InstanceGaugesOptions) {}

  /** Starts sending. */
  public start(): void {
    this.subscription = this.options.timers.every(SEND_INTERVAL_MILLISECONDS, () => {
      this.send();
    });
  }

  /** Stops sending. */
  public stop(): void {
    this.subscription?.stop();
  }

  private send(): void {
    const { metrics, readValues } = this.options;
    const values = readValues();
    metrics.gauge('calls.active', values.activeCalls);
    metrics.gauge('leases.held', values.heldShards);
    metrics.gauge('log.pending', values.pendingRecords);
    metrics.gauge('peers.alive', values.alivePeers);
    metrics.gauge('programs.open', values.openPrograms);
  }
}
