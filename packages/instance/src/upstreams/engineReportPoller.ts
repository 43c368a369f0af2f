import type { Logger, TimerService, TimerSubscription, UpstreamId } from '@zincring/core';
import type { PrefixDigest, ScheduledItem, ServiceScheduler } from '@zincring/scheduling';

import { failureText } from '@zincring/core';

import type { EngineControlClient } from './engineControlClient.js';
import type { Replica } from './replicaTable.js';

/** Dependencies and settings of an {@link EngineReportPoller} for the engines of one service. */
export interface EngineReportPollerOptions {
  readonly engineControl: EngineControlClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly scheduler: Pick<ServiceScheduler<ScheduledItem>, 'observeCacheChange' | 'observeLoad'>;
  /** Returns the engines that this instance uses. */
  readonly replicas: () => readonly Replica[];
  readonly intervalMilliseconds: number;
  /** Assumed lag of load reports, in milliseconds. */
  readonly lagMilliseconds: number;
}

/** Polls the load reports and cache events of engines; both are delayed and may be missing. */
export class EngineReportPoller {
  private readonly eventCursors = new Map<UpstreamId, number>();
  private subscription: TimerSubscription | undefined;
  private isPolling = false;

  public constructor(private readonly options: EngineReportPollerOptions) {}

  /** Starts polling. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.intervalMilliseconds, () => {
      this.pollAll().catch((failure: unknown) => {
        this.options.logger.warn(
          { failure: failureText(failure) },
          'polling engine reports failed',
        );
      });
    });
  }

  /** Stops polling. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Polls every engine once. */
  public async pollAll(): Promise<void> {
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    try {
      const replicas = this.options.replicas();
      this.pruneEventCursors(replicas);
      await Promise.all(replicas.map(async replica => this.poll(replica)));
    } finally {
      this.isPolling = false;
    }
  }

  private async poll(replica: Replica): Promise<void> {
    const { lagMilliseconds, engineControl, scheduler, timers } = this.options;
    const load = await engineControl.readLoad(replica);
    if (load.ok) {
      const { running, waiting } = load.val;
      const now = timers.now();
      const measuredAt = now - lagMilliseconds;
      scheduler.observeLoad(replica.id, { measuredAt, running, waiting }, now);
    }
    const events = await engineControl.readCacheEvents(
      replica,
      this.eventCursors.get(replica.id) ?? 0,
    );
    if (events.err) {
      return;
    }
    this.eventCursors.set(replica.id, events.val.next);
    for (const { change, prefix } of events.val.events) {
      scheduler.observeCacheChange({
        change,
        digest: prefix as PrefixDigest,
        replica: replica.id,
      });
    }
  }

  private pruneEventCursors(replicas: readonly Replica[]): void {
    const listedIds = new Set(replicas.map(replica => replica.id));
    for (const id of this.eventCursors.keys()) {
      if (!listedIds.has(id)) {
        this.eventCursors.delete(id);
      }
    }
  }
}
