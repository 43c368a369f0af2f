import type { Logger, TimerService, TimerSubscription, UpstreamId } from '@zincring/core';
import type { PrefixDigest, ScheduledItem, ServiceScheduler } from '@zincring/scheduling';

import { failureText } from '@zincring/core';

import type { EngineOrders } from './engineOrders.js';
import type { Replica } from './replicaTable.js';

/** What reading the reports of the engines of one service needs. */
export interface EngineReportsOptions {
  readonly orders: EngineOrders;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly scheduler: Pick<ServiceScheduler<ScheduledItem>, 'observeCacheChange' | 'observeLoad'>;
  /** Engines that this instance uses. */
  readonly replicas: () => readonly Replica[];
  readonly intervalMilliseconds: number;
  /** How far load reports are assumed to lag, in milliseconds. */
  readonly lagMilliseconds: number;
}

/** Reads load reports and cache events of engines; both come late and may be missing. */
export class EngineReports {
  private readonly nextEvent = new Map<UpstreamId, number>();
  private subscription: TimerSubscription | undefined;
  private isReading = false;

  public constructor(private readonly options: EngineReportsOptions) {}

  /** Begins to read. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.intervalMilliseconds, () => {
      this.readAll().catch((failure: unknown) => {
        this.options.logger.warn({ failure: failureText(failure) }, 'engine reports not read');
      });
    });
  }

  /** Stops reading. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Reads the reports of every engine once. */
  public async readAll(): Promise<void> {
    if (this.isReading) {
      return;
    }
    this.isReading = true;
    try {
      const replicas = this.options.replicas();
      this.forgetExcept(replicas);
      await Promise.all(replicas.map(async replica => this.read(replica)));
    } finally {
      this.isReading = false;
    }
  }

  private async read(replica: Replica): Promise<void> {
    const { lagMilliseconds, orders, scheduler, timers } = this.options;
    const load = await orders.readLoad(replica);
    if (load.ok) {
      const { running, waiting } = load.val;
      const now = timers.now();
      const measuredAt = now - lagMilliseconds;
      scheduler.observeLoad(replica.id, { measuredAt, running, waiting }, now);
    }
    const events = await orders.readCacheEvents(replica, this.nextEvent.get(replica.id) ?? 0);
    if (events.err) {
      return;
    }
    this.nextEvent.set(replica.id, events.val.next);
    for (const { change, prefix } of events.val.events) {
      scheduler.observeCacheChange({
        change,
        digest: prefix as PrefixDigest,
        replica: replica.id,
      });
    }
  }

  private forgetExcept(replicas: readonly Replica[]): void {
    const kept = new Set(replicas.map(replica => replica.id));
    for (const id of this.nextEvent.keys()) {
      if (!kept.has(id)) {
        this.nextEvent.delete(id);
      }
    }
  }
}
