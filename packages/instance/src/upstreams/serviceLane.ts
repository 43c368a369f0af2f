import type { Result, TimerService, TimerSubscription, UpstreamId } from '@zincring/core';
import type {
  Placement,
  PrefixChain,
  QueueItem,
  ReplicaChooser,
  WorkId,
  WorkQueue,
} from '@zincring/scheduling';

import { Err, Ok, ZincringError } from '@zincring/core';
import { enginePriority } from '@zincring/scheduling';

import type { Replica } from './replicaTable.js';
import type { ReplicaWindows } from './replicaWindows.js';

/** Work that needs a replica of the lane's service. */
export interface LaneRequest extends Omit<QueueItem, 'id'> {
  readonly prefixes: PrefixChain;
  readonly promptTokens: number;
  /** Replicas that were tried already. */
  readonly excluded: ReadonlySet<UpstreamId>;
  readonly signal: AbortSignal;
}

/** A place at a replica. It must be given back by {@link ServiceLane.release}. */
export interface LanePlace {
  readonly id: WorkId;
  readonly replica: Replica;
  /** Priority at the engine; lower runs first. */
  readonly priority: number;
  /** Prompt tokens that are expected to be cached. */
  readonly expectedCachedTokens: number;
  readonly takenAt: number;
  readonly prefixes: PrefixChain;
}

/** How work at a place ended. */
export type PlaceEnd =
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'failed'; readonly isSuspect: boolean }
  | {
      readonly kind: 'succeeded';
      /** Prompt tokens that the replica found cached; `undefined` for a plain service. */
      readonly cachedTokens: number | undefined;
      /** Tokens computed, for the fair shares. */
      readonly usedTokens: number;
      /** Prefixes that the replica holds from now on. */
      readonly prefixes: PrefixChain;
    };

/** What a lane is made of. */
export interface ServiceLaneOptions {
  readonly timers: TimerService;
  readonly queue: WorkQueue<WaitingWork>;
  readonly chooser: ReplicaChooser;
  readonly windows: ReplicaWindows;
  /** Replicas that this instance may use. */
  readonly replicas: () => readonly Replica[];
  /** How long a replica that refused a connection gets nothing new, in milliseconds. */
  readonly suspicionMilliseconds: number;
}

/** Work in the queue of a lane. */
export interface WaitingWork extends QueueItem {
  readonly request: LaneRequest;
  readonly enqueuedAt: number;
  readonly answer: (result: Result<LanePlace, ZincringError>) => void;
}

/** Pause before a lane looks again for room at replicas, in milliseconds. */
const LOOK_MILLISECONDS = 20;

/** The queue of one service at one instance, and the places at its replicas. */
export class ServiceLane {
  private nextId = 0;
  private look: TimerSubscription | undefined;

  public constructor(private readonly options: ServiceLaneOptions) {}

  /** Work that waits. */
  public get waiting(): number {
    return this.options.queue.size;
  }

  /** Takes over the replicas of the platform's list. */
  public refreshReplicas(): void {
    const replicas = this.options.replicas();
    this.options.chooser.update(replicas);
    this.options.windows.retain(replicas);
    this.pump();
  }

  /** Waits for a place in the order of the queue; refuses when the deadline passes first. */
  public async acquire(request: LaneRequest): Promise<Result<LanePlace, ZincringError>> {
    const isHopeless = this.options.replicas().every(({ id }) => request.excluded.has(id));
    if (isHopeless) {
      return Err(new ZincringError('upstream-unavailable'));
    }
    if (request.signal.aborted) {
      return Err(new ZincringError('deadline-exceeded-in-queue'));
    }
    const now = this.options.timers.now();
    const id = String(this.nextId++) as WorkId;
    return await new Promise(resolve => {
      const waiting = this.createWaiting(id, request, now, resolve);
      const outcome = this.options.queue.push(waiting, now);
      if (outcome !== 'accepted') {
        waiting.answer(Err(new ZincringError('queue-full')));
        return;
      }
      this.pump();
    });
  }

  /** Gives a place back. */
  public release(place: LanePlace, end: PlaceEnd): void {
    const { chooser, queue, suspicionMilliseconds, timers, windows } = this.options;
    const now = timers.now();
    const durationMilliseconds = now - place.takenAt;
    windows.noteEnd(place.replica.id, end.kind, durationMilliseconds, now);
    chooser.noteOutcome(
      {
        durationMilliseconds,
        end: end.kind,
        prefixes: end.kind === 'succeeded' ? end.prefixes : place.prefixes,
        replica: place.replica.id,
      },
      now,
    );
    queue.settle(place.id, end.kind === 'succeeded' ? end.usedTokens : 0);
    if (end.kind === 'failed' && end.isSuspect) {
      chooser.suspectUntil(place.replica.id, now + suspicionMilliseconds);
    }
    this.pump();
  }

  /** Gives places to waiting work while there is room. */
  public pump(): void {
    const { chooser, queue, timers, windows } = this.options;
    const now = timers.now();
    for (;;) {
      let placement: Placement | undefined;
      const next = queue.pop(now, item => {
        placement = chooser.choose(item.request, now, replica => windows.hasRoom(replica, now));
        return placement !== undefined;
      });
      if (next === undefined || placement === undefined) {
        break;
      }
      this.place(next, placement, now);
    }
    this.scheduleLook();
  }

  private createWaiting(
    id: WorkId,
    request: LaneRequest,
    now: number,
    resolve: (result: Result<LanePlace, ZincringError>) => void,
  ): WaitingWork {
    const { queue, timers } = this.options;
    const giveUp = (): void => {
      if (queue.remove(id) !== undefined) {
        finish(Err(new ZincringError('deadline-exceeded-in-queue')));
      }
    };
    const deadline =
      request.deadline === undefined ? undefined : timers.after(request.deadline - now, giveUp);
    const finish = (result: Result<LanePlace, ZincringError>): void => {
      deadline?.stop();
      request.signal.removeEventListener('abort', giveUp);
      resolve(result);
    };
    request.signal.addEventListener('abort', giveUp, { once: true });
    const { attainedTokens, estimatedTokens, program, workspace } = request;
    return {
      answer: finish,
      attainedTokens,
      deadline: request.deadline,
      enqueuedAt: now,
      estimatedTokens,
      id,
      program,
      request,
      workspace,
    };
  }

  private place(waiting: WaitingWork, placement: Placement, now: number): void {
    const { chooser, replicas, windows } = this.options;
    const replica = replicas().find(each => each.id === placement.replica);
    if (replica === undefined) {
      waiting.answer(Err(new ZincringError('upstream-unavailable')));
      return;
    }
    windows.noteDispatch(replica.id);
    chooser.noteDispatch(replica.id, waiting.request.prefixes, now);
    const { attainedTokens, deadline, enqueuedAt, id } = waiting;
    waiting.answer(
      Ok({
        expectedCachedTokens: placement.expectedCachedTokens,
        id,
        prefixes: waiting.request.prefixes,
        priority: enginePriority({ attainedTokens, deadline, enqueuedAt, now }),
        replica,
        takenAt: now,
      }),
    );
  }

  /** Windows open again by time alone, so a lane with waiting work looks again. */
  private scheduleLook(): void {
    if (this.look !== undefined || this.options.queue.size === 0) {
      return;
    }
    this.look = this.options.timers.after(LOOK_MILLISECONDS, () => {
      this.look = undefined;
      this.pump();
    });
  }
}
