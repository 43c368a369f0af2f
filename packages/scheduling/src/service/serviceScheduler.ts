import type { UpstreamId, WorkspaceName } from '@zincring/core';

import type { PushOutcome, QueueItem, WorkId, WorkQueue } from '../queue/workQueue.js';
import type {
  CacheChange,
  DispatchEnd,
  LoadReport,
  Placement,
  PlacementRequest,
  ReplicaChooser,
  ReplicaDescription,
} from '../replicas/replicaChooser.js';
import type { PrefixChain } from '../replicas/prefixChain.js';
import type { ConcurrencyWindowOptions } from '../windows/concurrencyWindow.js';

import { enginePriority } from '../priority/enginePriority.js';
import { ConcurrencyWindow } from '../windows/concurrencyWindow.js';
import { WakeTimes } from './wakeTimes.js';

/**
 * Work that waits for a replica of one service. Times are in milliseconds on the monotonic clock.
 */
export interface ScheduledItem extends PlacementRequest, QueueItem {
  /** Time at which the work entered the instance. */
  readonly enqueuedAt: number;
}

/** Work to be sent now, with its replica. */
export interface Dispatch<Item extends ScheduledItem> {
  readonly item: Item;
  readonly placement: Placement;
  /** Priority at the replica; lower numbers run first. */
  readonly priority: number;
}

/** Report of the end of work that was sent. */
export interface DispatchReport {
  readonly id: WorkId;
  readonly end: DispatchEnd;
  /** Number of tokens that were computed for the work. */
  readonly usedTokens: number;
  /** Prefixes that the replica now holds, if they go beyond those of the request. */
  readonly prefixes?: PrefixChain;
}

/** Decides which work of one service goes to which replica, and when. */
export interface ServiceScheduler<Item extends ScheduledItem> {
  /** Number of waiting items. */
  readonly size: number;
  /** Replaces the list of replicas that may get new work. */
  update(replicas: readonly ReplicaDescription[]): void;
  /** Adds work. */
  submit(item: Item, now: number): PushOutcome;
  /**
   * Returns the next work to send and records it as sent; `undefined` if no waiting work can be
   * sent now.
   */
  next(now: number): Dispatch<Item> | undefined;
  /**
   * Returns the time at which {@link next} should be called again if nothing else happens;
   * `undefined` for none.
   */
  nextWakeAt(now: number): number | undefined;
  /** Removes waiting work. */
  cancel(id: WorkId): Item | undefined;
  /** Records the end of work that was sent. */
  recordEnd(report: DispatchReport, now: number): void;
  /** Applies a load report. */
  observeLoad(replica: UpstreamId, report: LoadReport, now: number): void;
  /** Applies a cache event. */
  observeCacheChange(change: CacheChange): void;
  /** Charges a workspace for tokens that other instances served to it. */
  observeRemoteUse(workspace: WorkspaceName, tokens: number): void;
}

/** Dependencies and settings of a {@link WindowedServiceScheduler}. */
export interface WindowedServiceSchedulerOptions<Item extends ScheduledItem> {
  readonly queue: WorkQueue<Item>;
  readonly chooser: ReplicaChooser;
  readonly window: ConcurrencyWindowOptions;
  /**
   * Number of calls beyond the window of a replica that are allowed for workspaces below their
   * share. They have the highest priority at the replica and get its next free slot, ahead of the
   * calls of all instances.
   */
  readonly belowShareOverflow: number;
  /** Time for which a replica gets no new work after a failure, in milliseconds. */
  readonly suspicionMilliseconds: number;
}

/** Status of the concurrency window of one replica. */
export interface WindowStatus {
  /** Average number of calls that may be in flight; it may be below one. */
  readonly size: number;
  /** Number of calls in flight. */
  readonly used: number;
}

interface DispatchedItem<Item extends ScheduledItem> {
  readonly item: Item;
  readonly replica: UpstreamId;
  readonly dispatchedAt: number;
}

/**
 * Combines a work queue, a replica chooser and a concurrency window for each replica: work waits in
 * the queue until a suitable replica has capacity.
 *
 * @example
 * scheduler.submit(item, timers.now());
 * for (let next = scheduler.next(timers.now()); next; next = scheduler.next(timers.now())) {
 *   void send(next);
 * }
 */
export class WindowedServiceScheduler<
  Item extends ScheduledItem,
> implements ServiceScheduler<Item> {
  private readonly windows = new Map<UpstreamId, ConcurrencyWindow>();
  private readonly inFlightItems = new Map<WorkId, DispatchedItem<Item>>();
  private readonly wakeTimes = new WakeTimes();
  private windowOptions: ConcurrencyWindowOptions;

  public constructor(private readonly options: WindowedServiceSchedulerOptions<Item>) {
    this.windowOptions = options.window;
  }

  public get size(): number {
    return this.options.queue.size;
  }

  /** Number of calls that were sent and have not ended. */
  public get inFlight(): number {
    return this.inFlightItems.size;
  }

  public update(replicas: readonly ReplicaDescription[]): void {
    this.options.chooser.update(replicas);
    const listedIds = new Set(replicas.map(({ id }) => id));
    for (const id of this.windows.keys()) {
      if (!listedIds.has(id)) {
        this.windows.delete(id);
      }
    }
    for (const id of listedIds) {
      if (!this.windows.has(id)) {
        this.windows.set(id, new ConcurrencyWindow(this.windowOptions));
      }
    }
  }

  /** Applies a change of the service's rule or of the number of instances. */
  public reconfigure(window: ConcurrencyWindowOptions): void {
    this.windowOptions = window;
    for (const replicaWindow of this.windows.values()) {
      replicaWindow.reconfigure(window);
    }
  }

  /** Returns the size and use of the window of a replica. */
  public describeWindow(replica: UpstreamId): WindowStatus {
    const window = this.windows.get(replica);
    return { size: window?.size ?? 0, used: window?.used ?? 0 };
  }

  public submit(item: Item, now: number): PushOutcome {
    return this.options.queue.push(item, now);
  }

  public next(now: number): Dispatch<Item> | undefined {
    if (this.options.queue.size === 0) {
      return undefined;
    }
    let placement: Placement | undefined;
    let isBelowShare = false;
    const item = this.options.queue.pop(now, (candidate, standing) => {
      isBelowShare = standing === 'below-share';
      const overflow = isBelowShare ? this.options.belowShareOverflow : 0;
      placement = this.options.chooser.choose(
        candidate,
        now,
        replica => this.windows.get(replica)?.hasCapacity(now, overflow) === true,
      );
      return placement !== undefined;
    });
    if (item === undefined || placement === undefined) {
      return undefined;
    }
    this.windows.get(placement.replica)?.recordDispatch();
    this.options.chooser.recordDispatch(placement.replica, item.prefixes, now);
    this.inFlightItems.set(item.id, { dispatchedAt: now, item, replica: placement.replica });
    return { item, placement, priority: enginePriority({ ...item, isBelowShare, now }) };
  }

  public nextWakeAt(now: number): number | undefined {
    if (this.options.queue.size === 0) {
      return undefined;
    }
    return this.wakeTimes.peekAfter(now);
  }

  public cancel(id: WorkId): Item | undefined {
    return this.options.queue.remove(id);
  }

  public recordEnd(report: DispatchReport, now: number): void {
    const { end, id, usedTokens } = report;
    const dispatched = this.inFlightItems.get(id);
    if (dispatched === undefined) {
      return;
    }
    this.inFlightItems.delete(id);
    this.options.queue.settle(id, usedTokens);
    const { dispatchedAt, item, replica } = dispatched;
    const durationMilliseconds = now - dispatchedAt;
    const prefixes = report.prefixes ?? item.prefixes;
    const outcome = { durationMilliseconds, end, prefixes, replica };
    this.options.chooser.recordOutcome(outcome, now);
    this.recordWindowEnd(replica, end, durationMilliseconds, now);
    this.wakeTimes.add(this.windows.get(replica)?.nextCapacityAt(now) ?? now, now);
  }

  public observeLoad(replica: UpstreamId, report: LoadReport, now: number): void {
    this.options.chooser.observeLoad(replica, report);
    this.windows.get(replica)?.observeWaiting(report.waiting, now);
  }

  public observeCacheChange(change: CacheChange): void {
    this.options.chooser.observeCacheChange(change);
  }

  public observeRemoteUse(workspace: WorkspaceName, tokens: number): void {
    this.options.queue.observeRemoteUse(workspace, tokens);
  }

  private recordWindowEnd(
    replica: UpstreamId,
    end: DispatchEnd,
    durationMilliseconds: number,
    now: number,
  ): void {
    const window = this.windows.get(replica);
    switch (end) {
      case 'cancelled':
        window?.recordCancellation(now);
        return;
      case 'failed':
        window?.recordFailure(now);
        this.suspect(replica, now);
        return;
      case 'succeeded':
        window?.recordSuccess(durationMilliseconds, now);
        return;
    }
  }

  private suspect(replica: UpstreamId, now: number): void {
    const until = now + this.options.suspicionMilliseconds;
    this.options.chooser.suspectUntil(replica, until);
    this.wakeTimes.add(until, now);
  }
}
