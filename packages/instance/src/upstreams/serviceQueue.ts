import type { Result, TimerService, TimerSubscription, UpstreamId } from '@zincring/core';
import type {
  Dispatch,
  DispatchReport,
  ScheduledItem,
  WindowedServiceScheduler,
  WorkId,
} from '@zincring/scheduling';

import { Err, Ok, ZincringError } from '@zincring/core';

import type { Replica } from './replicaTable.js';

/** Request for a slot at any replica of the queue's service. */
export interface SlotRequest extends Omit<ScheduledItem, 'enqueuedAt' | 'id'> {
  /** Aborted when the caller abandons the request or its key is withdrawn. */
  readonly signal: AbortSignal;
}

/** Slot at a replica, for one call. It must be released by {@link ServiceQueue.release}. */
export interface ReplicaSlot {
  readonly id: WorkId;
  readonly replica: Replica;
  /** Priority at the engine; lower numbers run first. */
  readonly priority: number;
}

/** Report of the end of the work in a slot. */
export type SlotReport = Omit<DispatchReport, 'id'>;

/** Work that waits in a {@link ServiceQueue}. */
export interface QueuedWork extends ScheduledItem {
  /** Ends the wait with a slot or an error. */
  readonly settle: (result: Result<ReplicaSlot, ZincringError>) => void;
}

/** Dependencies of a {@link ServiceQueue}. */
export interface ServiceQueueOptions {
  readonly timers: TimerService;
  readonly scheduler: WindowedServiceScheduler<QueuedWork>;
  /** Returns the replicas that this instance may use. */
  readonly replicas: () => readonly Replica[];
}

/** Minimum time until the queue checks again for capacity at replicas, in milliseconds. */
const MINIMUM_RECHECK_MILLISECONDS = 5;
/**
 * Maximum time until the queue checks again, in milliseconds. The check is needed because the
 * suspicion of a failed replica expires without any event.
 */
const MAXIMUM_RECHECK_MILLISECONDS = 250;

/** Queue of the calls of one service at one instance; assigns them slots at the replicas. */
export class ServiceQueue {
  private replicasById = new Map<UpstreamId, Replica>();
  private nextId = 0;
  private recheckTimer: TimerSubscription | undefined;

  public constructor(private readonly options: ServiceQueueOptions) {}

  /** Number of waiting calls. */
  public get waitingCount(): number {
    return this.options.scheduler.size;
  }

  /** Applies the current list of replicas. */
  public refreshReplicas(): void {
    const replicas = this.options.replicas();
    this.replicasById = new Map(replicas.map(replica => [replica.id, replica]));
    this.options.scheduler.update(replicas);
    this.dispatchWaiting();
  }

  /**
   * Acquires a slot, waiting in the order of the queue. Fails immediately if there is no replica or
   * the queue is full, and later if the deadline passes before a slot is free.
   */
  public async acquire(request: SlotRequest): Promise<Result<ReplicaSlot, ZincringError>> {
    const hasNoCandidate = [...this.replicasById.keys()].every(id => request.excluded.has(id));
    if (hasNoCandidate) {
      return Err(new ZincringError('upstream-unavailable'));
    }
    if (request.signal.aborted) {
      return Err(new ZincringError('deadline-exceeded-in-queue'));
    }
    const now = this.options.timers.now();
    return await new Promise(resolve => {
      const queuedWork = this.createQueuedWork(request, now, resolve);
      const outcome = this.options.scheduler.submit(queuedWork, now);
      if (outcome !== 'accepted') {
        queuedWork.settle(Err(new ZincringError('queue-full')));
        return;
      }
      this.dispatchWaiting();
    });
  }

  /** Releases a slot. */
  public release(slot: ReplicaSlot, report: SlotReport): void {
    this.options.scheduler.recordEnd({ ...report, id: slot.id }, this.options.timers.now());
    this.dispatchWaiting();
  }

  /** Assigns slots to waiting work as long as replicas have capacity. */
  public dispatchWaiting(): void {
    const { scheduler, timers } = this.options;
    const now = timers.now();
    for (let next = scheduler.next(now); next !== undefined; next = scheduler.next(now)) {
      this.assignSlot(next);
    }
    this.scheduleRecheck(now);
  }

  private createQueuedWork(
    request: SlotRequest,
    now: number,
    resolve: (result: Result<ReplicaSlot, ZincringError>) => void,
  ): QueuedWork {
    const { scheduler, timers } = this.options;
    const { deadline, signal, ...item } = request;
    const id = String(this.nextId++) as WorkId;
    const cancelWaiting = (): void => {
      if (scheduler.cancel(id) !== undefined) {
        settle(Err(new ZincringError('deadline-exceeded-in-queue')));
      }
    };
    const timeoutTimer =
      deadline === undefined ? undefined : timers.after(deadline - now, cancelWaiting);
    const settle = (result: Result<ReplicaSlot, ZincringError>): void => {
      timeoutTimer?.stop();
      signal.removeEventListener('abort', cancelWaiting);
      resolve(result);
    };
    signal.addEventListener('abort', cancelWaiting, { once: true });
    return { ...item, settle, deadline, enqueuedAt: now, id };
  }

  private assignSlot({ item, placement, priority }: Dispatch<QueuedWork>): void {
    const replica = this.replicasById.get(placement.replica);
    if (replica === undefined) {
      item.settle(Err(new ZincringError('upstream-unavailable')));
      return;
    }
    item.settle(Ok({ id: item.id, priority, replica }));
  }

  /**
   * Schedules a check while work waits, since windows and suspicions also change without any event.
   */
  private scheduleRecheck(now: number): void {
    this.recheckTimer?.stop();
    if (this.options.scheduler.size === 0) {
      this.recheckTimer = undefined;
      return;
    }
    const wakeAt = this.options.scheduler.nextWakeAt(now) ?? now + MAXIMUM_RECHECK_MILLISECONDS;
    const delayMilliseconds = Math.min(MAXIMUM_RECHECK_MILLISECONDS, wakeAt - now);
    this.recheckTimer = this.options.timers.after(
      Math.max(MINIMUM_RECHECK_MILLISECONDS, delayMilliseconds),
      () => {
        this.recheckTimer = undefined;
        this.dispatchWaiting();
      },
    );
  }
}
