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

/** Work that needs a replica of the lane's service. */
export interface LaneRequest extends Omit<ScheduledItem, 'enqueuedAt' | 'id'> {
  /** Aborts when the caller gives up or its key is withdrawn. */
  readonly signal: AbortSignal;
}

/** A place at a replica. It must be given back by {@link ServiceLane.release}. */
export interface LanePlace {
  readonly id: WorkId;
  readonly replica: Replica;
  /** Priority at the engine; lower runs first. */
  readonly priority: number;
}

/** How work at a place ended. */
export type PlaceEnd = Omit<DispatchReport, 'id'>;

/** Work in the queue of a lane. */
export interface WaitingWork extends ScheduledItem {
  readonly answer: (result: Result<LanePlace, ZincringError>) => void;
}

/** What a lane is made of. */
export interface ServiceLaneOptions {
  readonly timers: TimerService;
  readonly scheduler: WindowedServiceScheduler<WaitingWork>;
  /** Replicas that this instance may use. */
  readonly replicas: () => readonly Replica[];
}

/** Shortest pause before a lane looks again for room at replicas, in milliseconds. */
const SHORTEST_LOOK_MILLISECONDS = 5;
/** Longest pause, since a suspicion ends by time alone as well. */
const LONGEST_LOOK_MILLISECONDS = 250;

/** The queue of one service at one instance, and the places at its replicas. */
export class ServiceLane {
  private replicasById = new Map<UpstreamId, Replica>();
  private nextId = 0;
  private look: TimerSubscription | undefined;

  public constructor(private readonly options: ServiceLaneOptions) {}

  /** Work that waits. */
  public get waiting(): number {
    return this.options.scheduler.size;
  }

  /** Takes over the replicas of the platform's list. */
  public refreshReplicas(): void {
    const replicas = this.options.replicas();
    this.replicasById = new Map(replicas.map(replica => [replica.id, replica]));
    this.options.scheduler.update(replicas);
    this.pump();
  }

  /**
   * Waits for a place in the order of the queue. Refuses at once when there is no replica or no
   * room in the queue, and when the deadline passes before there is a place.
   */
  public async acquire(request: LaneRequest): Promise<Result<LanePlace, ZincringError>> {
    const isHopeless = [...this.replicasById.keys()].every(id => request.excluded.has(id));
    if (isHopeless) {
      return Err(new ZincringError('upstream-unavailable'));
    }
    if (request.signal.aborted) {
      return Err(new ZincringError('deadline-exceeded-in-queue'));
    }
    const now = this.options.timers.now();
    return await new Promise(resolve => {
      const waiting = this.createWaiting(request, now, resolve);
      const outcome = this.options.scheduler.submit(waiting, now);
      if (outcome !== 'accepted') {
        waiting.answer(Err(new ZincringError('queue-full')));
        return;
      }
      this.pump();
    });
  }

  /** Gives a place back. */
  public release(place: LanePlace, end: PlaceEnd): void {
    this.options.scheduler.recordEnd({ ...end, id: place.id }, this.options.timers.now());
    this.pump();
  }

  /** Gives places to waiting work while there is room. */
  public pump(): void {
    const { scheduler, timers } = this.options;
    const now = timers.now();
    for (let next = scheduler.next(now); next !== undefined; next = scheduler.next(now)) {
      this.place(next);
    }
    this.scheduleLook(now);
  }

  private createWaiting(
    request: LaneRequest,
    now: number,
    resolve: (result: Result<LanePlace, ZincringError>) => void,
  ): WaitingWork {
    const { scheduler, timers } = this.options;
    const { deadline, signal, ...item } = request;
    const id = String(this.nextId++) as WorkId;
    const giveUp = (): void => {
      if (scheduler.cancel(id) !== undefined) {
        answer(Err(new ZincringError('deadline-exceeded-in-queue')));
      }
    };
    const timeout = deadline === undefined ? undefined : timers.after(deadline - now, giveUp);
    const answer = (result: Result<LanePlace, ZincringError>): void => {
      timeout?.stop();
      signal.removeEventListener('abort', giveUp);
      resolve(result);
    };
    signal.addEventListener('abort', giveUp, { once: true });
    return { ...item, answer, deadline, enqueuedAt: now, id };
  }

  private place({ item, placement, priority }: Dispatch<WaitingWork>): void {
    const replica = this.replicasById.get(placement.replica);
    if (replica === undefined) {
      item.answer(Err(new ZincringError('upstream-unavailable')));
      return;
    }
    item.answer(Ok({ id: item.id, priority, replica }));
  }

  /** Windows and suspicions end by time alone, so a lane with waiting work looks again. */
  private scheduleLook(now: number): void {
    this.look?.stop();
    if (this.options.scheduler.size === 0) {
      this.look = undefined;
      return;
    }
    const wakeAt = this.options.scheduler.nextWakeAt(now) ?? now + LONGEST_LOOK_MILLISECONDS;
    const pause = Math.min(LONGEST_LOOK_MILLISECONDS, wakeAt - now);
    this.look = this.options.timers.after(Math.max(SHORTEST_LOOK_MILLISECONDS, pause), () => {
      this.look = undefined;
      this.pump();
    });
  }
}
