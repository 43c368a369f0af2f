import type { Metrics, TimerService, TimerSubscription } from '@zincring/core';

/** What an instance holds at a moment. */
export interface InstanceReading {
  /** Requests of callers that are being answered. */
  readonly activeCalls: number;
  readonly heldShards: number;
  /** Log records that are not durable yet. */
  readonly pendingRecords: number;
  readonly alivePeers: number;
  readonly openPrograms: number;
}

/** What sending the gauges needs. */
export interface InstanceGaugesOptions {
  readonly metrics: Metrics;
  readonly timers: TimerService;
  readonly read: () => InstanceReading;
}

const SEND_MILLISECONDS = 10_000;

/** Sends what an instance holds, now and then. */
export class InstanceGauges {
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: InstanceGaugesOptions) {}

  /** Begins to send. */
  public start(): void {
    this.subscription = this.options.timers.every(SEND_MILLISECONDS, () => {
      this.send();
    });
  }

  /** Stops sending. */
  public stop(): void {
    this.subscription?.stop();
  }

  private send(): void {
    const { metrics, read } = this.options;
    const reading = read();
    metrics.gauge('calls.active', reading.activeCalls);
    metrics.gauge('leases.held', reading.heldShards);
    metrics.gauge('log.pending', reading.pendingRecords);
    metrics.gauge('peers.alive', reading.alivePeers);
    metrics.gauge('programs.open', reading.openPrograms);
  }
}
