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

/** Work that waits for a replica of one service. */
export interface ScheduledItem extends PlacementRequest, QueueItem {
  /** When the work entered the instance. */
  readonly enqueuedAt: number;
}

/** Work that is to be sent now. */
export interface Dispatch<Item extends ScheduledItem> {
  readonly item: Item;
  readonly placement: Placement;
  /** For the replica; lower numbers run first. */
  readonly priority: number;
}

/** How work that was sent has ended. */
export interface DispatchReport {
  readonly id: WorkId;
  readonly end: DispatchEnd;
  /** Tokens that were computed for it. */
  readonly usedTokens: number;
  /** Prefixes that the replica holds from now on, where they are more than were asked for. */
  readonly prefixes?: PrefixChain;
}

/** Decides which work of one service goes to which replica, and when. */
export interface ServiceScheduler<Item extends ScheduledItem> {
  /** Items that wait. */
  readonly size: number;
  /** Takes over the replicas that may get new work. */
  update(replicas: readonly ReplicaDescription[]): void;
  /** Adds work. */
  submit(item: Item, now: number): PushOutcome;
  /** The next work to send, counted as sent; `undefined` when all that waits has to wait on. */
  next(now: number): Dispatch<Item> | undefined;
  /** When {@link next} should be asked again though nothing happened; `undefined` for never. */
  nextWakeAt(now: number): number | undefined;
  /** Removes work that waits. */
  cancel(id: WorkId): Item | undefined;
  /** Counts work that was sent as ended. */
  noteEnd(report: DispatchReport, now: number): void;
  /** Takes in a load report. */
  observeLoad(replica: UpstreamId, report: LoadReport, now: number): void;
  /** Takes in a cache event. */
  observeCacheChange(change: CacheChange): void;
  /** Counts tokens that other instances served to a workspace. */
  observeRemoteUse(workspace: WorkspaceName, tokens: number): void;
}

/** Parts of a {@link WindowedServiceScheduler}. */
export interface WindowedServiceSchedulerOptions<Item extends ScheduledItem> {
  readonly queue: WorkQueue<Item>;
  readonly chooser: ReplicaChooser;
  readonly window: ConcurrencyWindowOptions;
  /**
   * Calls beyond the window of a replica that a workspace below its share may have there. They wait
   * at the replica before all others, since the next place of any instance is theirs.
   */
  readonly belowShareOverflow: number;
  /** Time for which a replica gets no new work after a failure, in milliseconds. */
  readonly suspicionMilliseconds: number;
}

/** What a status shows of the window of one replica. */
export interface WindowStatus {
  /** Calls that may be in flight on average. */
  readonly size: number;
  /** Calls in flight. */
  readonly used: number;
}

interface Sent<Item extends ScheduledItem> {
  readonly item: Item;
  readonly replica: UpstreamId;
  readonly at: number;
}

/**
 * Queue, choice of the replica and windows put together: work waits in the queue until a replica
 * that suits it has room.
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
  private readonly sent = new Map<WorkId, Sent<Item>>();
  private readonly wakeTimes = new WakeTimes();
  private windowOptions: ConcurrencyWindowOptions;

  public constructor(private readonly options: WindowedServiceSchedulerOptions<Item>) {
    this.windowOptions = options.window;
  }

  public get size(): number {
    return this.options.queue.size;
  }

  /** Calls that were sent and have not ended. */
  public get inFlight(): number {
    return this.sent.size;
  }

  public update(replicas: readonly ReplicaDescription[]): void {
    this.options.chooser.update(replicas);
    const listed = new Set(replicas.map(({ id }) => id));
    for (const id of this.windows.keys()) {
      if (!listed.has(id)) {
        this.windows.delete(id);
      }
    }
    for (const id of listed) {
      if (!this.windows.has(id)) {
        this.windows.set(id, new ConcurrencyWindow(this.windowOptions));
      }
    }
  }

  /** Takes over a changed rule or number of instances. */
  public reconfigure(window: ConcurrencyWindowOptions): void {
    this.windowOptions = window;
    for (const each of this.windows.values()) {
      each.reconfigure(window);
    }
  }

  /** Size and use of the window of a replica. */
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
        replica => this.windows.get(replica)?.hasRoom(now, overflow) === true,
      );
      return placement !== undefined;
    });
    if (item === undefined || placement === undefined) {
      return undefined;
    }
    this.windows.get(placement.replica)?.noteDispatch();
    this.options.chooser.noteDispatch(placement.replica, item.prefixes, now);
    this.sent.set(item.id, { at: now, item, replica: placement.replica });
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

  public noteEnd(report: DispatchReport, now: number): void {
    const { end, id, usedTokens } = report;
    const sent = this.sent.get(id);
    if (sent === undefined) {
      return;
    }
    this.sent.delete(id);
    this.options.queue.settle(id, usedTokens);
    const { at, item, replica } = sent;
    const durationMilliseconds = now - at;
    const prefixes = report.prefixes ?? item.prefixes;
    const outcome = { durationMilliseconds, end, prefixes, replica };
    this.options.chooser.noteOutcome(outcome, now);
    this.noteWindowEnd(replica, end, durationMilliseconds, now);
    this.wakeTimes.add(this.windows.get(replica)?.nextRoomAt(now) ?? now, now);
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

  private noteWindowEnd(
    replica: UpstreamId,
    end: DispatchEnd,
    duration: number,
    now: number,
  ): void {
    const window = this.windows.get(replica);
    switch (end) {
      case 'cancelled':
        window?.noteCancellation(now);
        return;
      case 'failed':
        window?.noteFailure(now);
        this.suspect(replica, now);
        return;
      case 'succeeded':
        window?.noteSuccess(duration, now);
        return;
    }
  }

  private suspect(replica: UpstreamId, now: number): void {
    const until = now + this.options.suspicionMilliseconds;
    this.options.chooser.suspectUntil(replica, until);
    this.wakeTimes.add(until, now);
  }
}
